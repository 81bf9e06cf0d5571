/**
 * Stand-ins of the platform for the scripts of this review, as the users' pages describe
 * them: the key-value store, servers, clients, and the start of entries with the commands
 * of the deploy file. Only modules of Node are used; everything listens on loopback addresses.
 */
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, createServer, request as httpRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const ROOT = join(import.meta.dirname, '../..');

const begun = performance.now();

/** Time since the start of the script, in ms. */
export const now = () => performance.now() - begun;

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Collects the lines of record.txt. */
export function createRecord(folder) {
  const lines = [];
  return {
    add(text) {
      lines.push(`${(now() / 1000).toFixed(3)} s  ${text}`);
    },
    write() {
      writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    },
  };
}

/** Finds a run of ports that are free on an address. */
export async function freePorts(ip, count) {
  for (let tries = 0; tries < 50; tries += 1) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const ports = Array.from({ length: count }, (_, index) => first + index);
    const free = await Promise.all(ports.map((port) => isFree(ip, port)));
    if (free.every(Boolean)) return ports;
  }
  throw new Error(`no free ports on ${ip}`);
}

function isFree(ip, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/**
 * The platform's store. `outage` is 'none', 'silent' (no call is answered) or 'reset'
 * (connections are reset). Leases pause while the store is down. Revisions are integers of any
 * size, written as JSON numbers.
 */
export async function startStore(ip, { firstRevision = 10n } = {}) {
  const items = new Map();
  const events = [];
  const leases = new Map();
  const sockets = new Set();
  let watches = [];
  let revision = BigInt(firstRevision);
  let lastLease = 70_000;
  let outage = 'none';
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (outage === 'none') answer(request, response, Buffer.concat(chunks));
    });
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    if (outage === 'reset') socket.resetAndDestroy();
  });
  const [port] = await freePorts(ip, 1);
  await new Promise((resolve) => server.listen(port, ip, resolve));
  const expiry = setInterval(expire, 100);

  function answer(request, response, body) {
    const url = new URL(request.url, 'http://store');
    const reply = (status, value) => {
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(toJson(value));
    };
    const query = url.searchParams;
    const call = `${request.method} ${url.pathname}`;
    if (call === 'GET /v1/kv-key') {
      const item = items.get(query.get('Key'));
      if (item === undefined) reply(404, { CurrentRev: revision });
      else reply(200, { ...item, CurrentRev: revision });
    } else if (call === 'GET /v1/kv-range') {
      const found = [...items.values()]
        .filter(({ Key }) => Key.startsWith(query.get('Prefix') ?? ''))
        .filter(({ Key }) => Key > (query.get('After') ?? ''))
        .sort((a, b) => (a.Key < b.Key ? -1 : 1));
      reply(200, {
        Items: found.slice(0, 500),
        MorePages: found.length > 500,
        CurrentRev: revision,
      });
    } else if (call === 'GET /v1/kv-watch') {
      watch(query, reply);
    } else if (call === 'POST /v1/kv-lease') {
      const { TtlMs } = JSON.parse(body.toString());
      lastLease += 1;
      leases.set(lastLease, { ttlMs: TtlMs, leftMs: TtlMs });
      reply(200, { Lease: lastLease, TtlMs });
    } else if (url.pathname.startsWith('/v1/kv-keep/')) {
      const lease = leases.get(Number(url.pathname.split('/').at(-1)));
      if (lease === undefined) reply(404, {});
      else {
        lease.leftMs = lease.ttlMs;
        reply(200, { TtlMs: lease.ttlMs });
      }
    } else if (call === 'POST /v1/kv-txn') {
      transact(JSON.parse(body.toString()), reply);
    } else reply(404, {});
  }

  function watch(query, reply) {
    const prefix = query.get('Prefix') ?? '';
    const after = BigInt(query.get('After'));
    let isDone = false;
    const tryAnswer = (isLast) => {
      if (isDone || outage !== 'none') return isDone;
      const found = events.filter(
        (one) => one.Revision > after && one.Key.startsWith(prefix),
      );
      if (found.length === 0 && !isLast) return false;
      isDone = true;
      reply(200, { events: found, CurrentRev: revision });
      return true;
    };
    if (tryAnswer(false)) return;
    watches.push(tryAnswer);
    setTimeout(() => tryAnswer(true), Number(query.get('WaitMs'))).unref();
  }

  function transact({ Expected = [], Writes = [], Remove = [] }, reply) {
    const fits = Expected.every(
      ({ Key, Revision }) =>
        (items.get(Key)?.Revision ?? 0n) === BigInt(Revision),
    );
    const isAllowed = [...Writes.map(({ Key }) => Key), ...Remove].every(
      (key) => !key.startsWith('op/') && !key.startsWith('servers/'),
    );
    if (!isAllowed) reply(403, {});
    else if (!fits) {
      const Items = Expected.flatMap(({ Key }) => items.get(Key) ?? []);
      reply(412, { Items });
    } else if (
      Writes.some(({ Lease = 0 }) => Lease !== 0 && !leases.has(Lease))
    ) {
      reply(404, {});
    } else {
      Writes.forEach(({ Key, Value, Lease = 0 }) => write(Key, Value, Lease));
      Remove.forEach(remove);
      reply(200, { Revision: revision });
    }
  }

  function write(Key, Value, Lease) {
    revision += 1n;
    const Created = items.get(Key)?.Created ?? revision;
    const row = { Key, Value, Revision: revision, Created, Lease };
    items.set(Key, row);
    publish(row);
  }

  function remove(Key) {
    if (!items.delete(Key)) return;
    revision += 1n;
    publish({ Key, Revision: revision, Deleted: true });
  }

  function publish(row) {
    events.push(row);
    watches = watches.filter((tryAnswer) => !tryAnswer(false));
  }

  function expire() {
    if (outage !== 'none') return;
    leases.forEach((lease, id) => {
      lease.leftMs -= 100;
      if (lease.leftMs > 0) return;
      leases.delete(id);
      [...items.values()]
        .filter(({ Lease }) => Lease === id)
        .forEach(({ Key }) => remove(Key));
    });
  }

  return {
    address: `${ip}:${port}`,
    revision: () => revision,
    /** Writes of the operator and of servers. Returns false while the store is down. */
    put(key, value) {
      if (outage !== 'none') return false;
      write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
      return true;
    },
    remove(key) {
      if (outage !== 'none') return false;
      remove(key);
      return true;
    },
    setOutage(next) {
      outage = next;
      if (next === 'none') {
        // Calls that were not answered stay so: their connections are gone.
        sockets.forEach((socket) => socket.resetAndDestroy());
        watches = [];
      }
      if (next === 'reset') {
        sockets.forEach((socket) => socket.resetAndDestroy());
      }
    },
    close() {
      clearInterval(expiry);
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Writes a value as JSON, with the digits of large integers. */
function toJson(value) {
  const text = JSON.stringify(value, (_name, part) =>
    typeof part === 'bigint' ? `bigint:${part}` : part,
  );
  return text.replace(/"bigint:(\d+)"/g, '$1');
}

/** Fills in the deploy file's template of the settings. */
function fillTemplate(template, fields) {
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_match, path) => {
    const value = path.split('.').reduce((part, name) => part?.[name], fields);
    return value === undefined ? '' : JSON.stringify(value);
  });
}

function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const field = (name) =>
    new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1] ?? '';
  return { run: field('run').split(' '), template: field('template') };
}

/** Starts entries on addresses of their own, with the deploy file's command. */
export async function startEntries(options) {
  const { ips, storeAddress, bounds, record, zones = ['kigali-a'] } = options;
  const { run, template } = readDeployFile();
  const folder = mkdtempSync(join(tmpdir(), 'endivegate-review-'));
  const text = readFileSync(join(ROOT, template), 'utf8');
  // Ports are the same on all machines of a day.
  const ports = await freePorts(ips[0], 30);
  const [front, ready, control, directory] = ports;
  const entries = ips.map((ip, index) => {
    const name = `edge-${index + 1}`;
    const zone = zones[index % zones.length];
    const settings = fillTemplate(text, {
      NodeName: name,
      Zone: zone,
      Ip: ip,
      Listen: {
        Front: `${ip}:${front}`,
        Ready: `${ip}:${ready}`,
        Control: `${ip}:${control}`,
        Directory: `${ip}:${directory}`,
      },
      InternalPorts: [ports[10], ports[25]],
      Seeds: ips.slice(0, 3).map((one) => `${one}:${control}`),
      Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100 },
      Platform: { Address: storeAddress },
      Bounds: bounds,
    });
    const file = join(folder, `${name}.jsonc`);
    writeFileSync(file, settings);
    const entry = {
      name,
      ip,
      zone,
      front,
      ready,
      directory,
      isUp: true,
      log: [],
    };
    const launch = () => {
      const { PATH, HOME, LANG } = process.env;
      const child = spawn(process.execPath, run.slice(1), {
        cwd: ROOT,
        env: { PATH, HOME, LANG, ENDIVEGATE_SETTINGS: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      child.stdout.on('data', (bytes) => entry.log.push(bytes.toString()));
      child.stderr.on('data', (bytes) => entry.log.push(bytes.toString()));
      entry.child = child;
      child.once('exit', (code, signal) => {
        entry.isUp = false;
        record.add(`${name} ended: code ${code}, signal ${signal}`);
      });
      record.add(`${name} starts at ${ip}:${front}`);
    };
    launch();
    return Object.assign(entry, { launch });
  });
  return {
    entries,
    async close() {
      await Promise.all(
        entries.map(
          ({ child }) =>
            new Promise((resolve) => {
              if (child.exitCode !== null || child.signalCode !== null) {
                resolve();
                return;
              }
              child.once('exit', resolve);
              child.kill('SIGCONT');
              child.kill('SIGKILL');
            }),
        ),
      );
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Waits until an entry says that it is ready. */
export async function waitReady({ ip, ready }, forMs = 10_000) {
  const untilMs = now() + forMs;
  while (now() < untilMs) {
    const status = await new Promise((resolve) => {
      const call = httpRequest(
        { host: ip, port: ready, path: '/v1/readyz', agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      call.on('error', () => resolve(0));
      call.end();
    });
    if (status === 200) return true;
    await pause(100);
  }
  return false;
}

export const newAttemptId = () => randomBytes(8).toString('hex');

/** A client with kept connections to one entry. */
export function createClient(entry) {
  const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
  return {
    send({ method = 'GET', path, headers = {}, body, deadlineMs }) {
      return new Promise((resolve) => {
        const call = httpRequest(
          {
            agent,
            host: entry.ip,
            port: entry.front,
            method,
            path,
            headers: {
              ...headers,
              'Endivegate-Deadline-Ms': String(deadlineMs),
              ...(body === undefined
                ? {}
                : { 'Content-Length': Buffer.byteLength(body) }),
            },
          },
          (response) => {
            const chunks = [];
            response.on('data', (chunk) => chunks.push(chunk));
            response.on('error', () => undefined);
            response.on('close', () => {
              resolve({
                status: response.statusCode,
                stamp: response.headers['endivegate-server-stamp'],
                retryAfterS: Number(response.headers['retry-after'] ?? 0),
                isWhole: response.complete,
                body: Buffer.concat(chunks),
              });
            });
          },
        );
        const timer = setTimeout(() => call.destroy(), deadlineMs + 300);
        call.on('close', () => clearTimeout(timer));
        call.on('error', (error) =>
          resolve({ status: 0, error: error.message }),
        );
        call.end(body);
      });
    },
    close() {
      agent.destroy();
    },
  };
}
