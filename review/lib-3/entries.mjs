/** Starts entries as processes of their own, with the commands of the deploy file. */
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../..',
);

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Bounds of the small deployments, as SYSTEM.md gives them. */
export const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  StableWindowMs: 3000,
  AckMs: 4000,
  CatchUpS: 4,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  MaxStretchMs: 5000,
  RevokeStrict: false,
  RevokeMs: 5000,
  RetryRatio: 0.2,
  RetryWindowS: 10,
  RetrySlack: 100,
  RecoveryS: 12,
  PassMs: 120,
  RetryAfterS: 0,
  stall_ms: 1500,
  HoldMaxMs: 20000,
  FreeMs: 4000,
  IdleMaxMs: 9000,
  ttl_max_s: 5,
};

/** Fills in the placeholders of the deploy file's template. */
function render(template, fields) {
  return template.replace(/\{\{([A-Za-z_.]+)\|json\}\}/g, (_all, name) => {
    const value = name
      .split('.')
      .reduce((at, key) => (at === undefined ? at : at[key]), fields);
    return value === undefined ? '' : JSON.stringify(value);
  });
}

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

function isFree(host, port) {
  return new Promise((resolve) => {
    const probe = net.createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });
}

/** Free ports in a row, alike on all hosts. */
async function freePorts(hosts, count) {
  for (;;) {
    const range = LAST_PORT - FIRST_PORT - count;
    const first = FIRST_PORT + Math.floor(Math.random() * range);
    const ports = Array.from({ length: count }, (_, at) => first + at);
    const results = await Promise.all(
      hosts.flatMap((host) => ports.map((port) => isFree(host, port))),
    );
    if (results.every(Boolean)) return ports;
  }
}

/**
 * Prepares a fleet of entries on loopback addresses of their own.
 *
 * @param options - store address, number of entries, zones, further bounds and limits.
 */
export async function createFleet({
  store,
  count,
  zones = ['zone-a', 'zone-b', 'zone-c'],
  bounds = {},
  limits = {},
}) {
  const net2 = 20 + (process.pid % 200);
  const net3 = 1 + (Math.floor(process.pid / 200) % 250);
  const hosts = Array.from(
    { length: count },
    (_, at) => `127.${net2}.${net3}.${at + 1}`,
  );
  const ports = await freePorts(hosts, 8);
  const [front, ready, control, directory, internal] = ports;
  const folder = mkdtempSync(path.join(tmpdir(), 'review-3-'));
  const toml = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = /^run = "(.*)"$/m.exec(toml)[1].split(' ');
  const template = readFileSync(
    path.join(ROOT, /^template = "(.*)"$/m.exec(toml)[1]),
    'utf8',
  );
  const entries = hosts.map((host, at) => {
    const zone = zones[at % zones.length];
    const settings = path.join(folder, `entry-${at}.jsonc`);
    const fields = {
      NodeName: `entry-${at}`,
      Role: 'gateway',
      MachineClass: 'edge',
      Serves: ['edge', 'registry', 'control_plane'],
      Ip: host,
      Zone: zone,
      Region: 'region',
      Zones: Object.fromEntries(zones.map((name) => [name, 'region'])),
      Listen: {
        Front: `${host}:${front}`,
        Ready: `${host}:${ready}`,
        Control: `${host}:${control}`,
        Directory: `${host}:${directory}`,
      },
      InternalPorts: [internal, internal + 3],
      Seeds: hosts.slice(0, 3).map((one) => `${one}:${control}`),
      Bootstrap: true,
      Limits: {
        CpuShare: 0.675,
        Cores: 1,
        MemoryMb: 350,
        MaxFds: 4200,
        LinkMbps: 1000,
        DiskMb: 0,
        ...limits,
      },
      Platform: { Address: store.address },
      Bounds: { ...BOUNDS, ...bounds },
    };
    writeFileSync(settings, render(template, fields));
    return {
      name: `entry-${at}`,
      zone,
      host,
      front: { host, port: front },
      ready: { host, port: ready },
      directory: { host, port: directory },
      peerPort: internal,
      settings,
      child: undefined,
      exits: [],
      killed: false,
    };
  });

  function start(entry) {
    const log = createWriteStream(path.join(folder, `${entry.name}.log`), {
      flags: 'a',
    });
    const child = spawn(command[0], command.slice(1), {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        ENDIVEGATE_SETTINGS: entry.settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    entry.child = child;
    child.once('exit', (code, signal) => {
      entry.exits.push({ code, signal });
      if (entry.child === child) entry.child = undefined;
    });
    return child;
  }

  function isReady(entry) {
    return new Promise((resolve) => {
      const call = http.get(
        { ...entry.ready, path: '/v1/readyz', agent: false, timeout: 1000 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(false));
    });
  }

  async function awaitReady(some = entries, withinMs = 15_000) {
    const endAt = performance.now() + withinMs;
    while (performance.now() < endAt) {
      const answers = await Promise.all(some.map(isReady));
      if (answers.every(Boolean)) return true;
      await sleep(100);
    }
    return false;
  }

  return {
    entries,
    folder,
    start,
    isReady,
    awaitReady,
    logOf: (entry) =>
      readFileSync(path.join(folder, `${entry.name}.log`), 'utf8'),
    async stop() {
      const running = entries.filter(({ child }) => child !== undefined);
      running.forEach(({ child }) => {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      });
      const endAt = performance.now() + 3000;
      while (
        entries.some(({ child }) => child !== undefined) &&
        performance.now() < endAt
      ) {
        await sleep(20);
      }
      if (process.env.KEEP === undefined) {
        rmSync(folder, { recursive: true, force: true });
      }
    },
  };
}
