/**
 * Starts entries as processes of their own: with the command of the deploy file,
 * and with settings made from its template as DEPLOY.md tells it.
 */
import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const ROOT = join(import.meta.dirname, '..', '..');

/** The bounds that SYSTEM.md gives for the small deployments. */
export const BOUNDS = {
  StableWindowMs: 3000,
  DrainMs: 2000,
  GraceS: 8,
  ConfigApplyMs: 2000,
  RetryRatio: 0.2,
  RetryWindowS: 10,
  RetrySlack: 100,
};

/** Time after which the platform starts a process again that has ended. */
const RESTART_MS = 400;

/** Port of an entry's metrics, which the template sets. */
const METRICS_PORT = 9464;

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function isFree(host, port) {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });
}

/** Finds the ports that all entries use; each has a loopback address of its own. */
async function findPorts(ips) {
  for (let tries = 0; tries < 50; tries += 1) {
    const base = 12_000 + Math.floor(Math.random() * 15_000);
    const ports = [0, 1, 2, 3, 4, 5, 6].map((offset) => base + offset);
    const free = await Promise.all(
      ips.flatMap((ip) =>
        [...ports, METRICS_PORT].map((port) => isFree(ip, port)),
      ),
    );
    if (free.every(Boolean)) return base;
  }
  throw new Error('no free ports');
}

/** Command of the role in the deploy file, split at spaces. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined) throw new Error('the deploy file has no such role');
  return run.split(' ');
}

/** Fills in the placeholders of the template: a value as JSON, nothing if absent. */
function fillIn(template, fields) {
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_all, path) => {
    const value = path.split('.').reduce((at, key) => at?.[key], fields);
    return value === undefined ? '' : JSON.stringify(value);
  });
}

/** A free range of loopback addresses. */
export function loopbackRange() {
  const byte = () => 10 + Math.floor(Math.random() * 200);
  return `127.${byte()}.${byte()}`;
}

/**
 * Starts a fleet of entries in three zones, each restarted when it ends.
 *
 * @param options.range first three bytes of the addresses
 * @param options.count number of entries
 * @param options.storeAddressOf address of the store as an entry sees it
 */
export async function startFleet({
  range,
  count,
  storeAddressOf,
  bounds = {},
}) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const template = readFileSync(join(ROOT, 'deploy/settings.jsonc'), 'utf8');
  const [program, ...args] = commandOf('gateway');
  const ips = Array.from({ length: count }, (_, n) => `${range}.${n + 1}`);
  const base = await findPorts(ips);
  const ended = [];
  let isClosing = false;

  function startOne(ip, index) {
    const name = `edge-${'abc'[index % 3]}-${Math.floor(index / 3) + 1}`;
    const path = join(folder, `${name}.jsonc`);
    const fields = {
      NodeName: name,
      Zone: `zone-${'abc'[index % 3]}`,
      Ip: ip,
      Listen: {
        Front: `${ip}:${base}`,
        Ready: `${ip}:${base + 1}`,
        Control: `${ip}:${base + 2}`,
        Directory: `${ip}:${base + 3}`,
      },
      InternalPorts: [base + 4, base + 6],
      Seeds: ips.slice(0, 3).map((seed) => `${seed}:${base + 2}`),
      Limits: { CpuShare: 0.675, Cores: 1 },
      Platform: { Address: storeAddressOf(index) },
      Bounds: { ...BOUNDS, ...bounds },
    };
    writeFileSync(path, fillIn(template, fields));
    const entry = {
      name,
      ip,
      zone: fields.Zone,
      front: fields.Listen.Front,
      ready: fields.Listen.Ready,
      directory: fields.Listen.Directory,
      startedAtMs: 0,
      child: undefined,
      lines: [],
    };
    const start = () => {
      entry.startedAtMs = performance.now();
      const child = spawn(program, args, {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG,
          ENDIVEGATE_SETTINGS: path,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      [child.stdout, child.stderr].forEach((stream) => {
        stream.on('data', (bytes) => entry.lines.push(bytes.toString()));
      });
      child.once('exit', (code, signal) => {
        ended.push({ name, code, signal, atMs: performance.now() });
        if (!isClosing) setTimeout(() => !isClosing && start(), RESTART_MS);
      });
      entry.child = child;
    };
    start();
    return entry;
  }

  const entries = ips.map(startOne);

  function close() {
    isClosing = true;
    entries.forEach(({ child }) => child?.kill('SIGKILL'));
    rmSync(folder, { recursive: true, force: true });
  }

  process.on('exit', close);
  return { entries, ended, close };
}

/** Sends a request on a connection of its own. Never rejects. */
export function call(
  address,
  { method = 'GET', path, headers = {}, body, timeoutMs = 10_000 },
) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const sentAtMs = performance.now();
    const done = (result) => {
      clearTimeout(timer);
      resolve({ sentAtMs, endedAtMs: performance.now(), ...result });
    };
    const outgoing = request({
      host,
      port,
      method,
      path,
      headers,
      agent: false,
    });
    const timer = setTimeout(() => {
      done({ status: 0, reason: 'the client gave up' });
      outgoing.destroy();
    }, timeoutMs);
    outgoing.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () =>
        done({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }),
      );
      response.on('error', (error) =>
        done({ status: 0, reason: error.message }),
      );
    });
    outgoing.on('error', (error) => done({ status: 0, reason: error.message }));
    outgoing.end(body);
  });
}

/** Waits until all entries say that they are ready. Returns whether they do. */
export async function waitUntilReady(entries, limitMs = 15_000) {
  const untilMs = performance.now() + limitMs;
  while (performance.now() < untilMs) {
    const answers = await Promise.all(
      entries.map(({ ready }) =>
        call(ready, { path: '/v1/readyz', timeoutMs: 500 }),
      ),
    );
    if (answers.every(({ status }) => status === 200)) return true;
    await pause(100);
  }
  return false;
}
