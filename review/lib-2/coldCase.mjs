/**
 * The parts that the cases on cold servers share: a service whose servers become cold, its
 * clients, and the check of the rule FAILBACK.
 */
import { createServer } from 'node:http';
import {
  createClient,
  createRecord,
  freePorts,
  newAttemptId,
  now,
  pause,
  startEntries,
  startStore,
  waitReady,
} from './harness.mjs';

const SERVICE = 'wuno96b';
const HOST = 'ficu95.example';
const KEY = 'yhks8nbkxxmibw6kpqk8';

/** Bounds of isimbi-enrol-grown. */
const WARMUP_S = 3;
const WARMUP_PER_S = 14;
const WARMUP_OVERRUN = 1.5;
const WARMUP_SLACK = 5;
const LIMIT_PER_S = WARMUP_PER_S * WARMUP_OVERRUN + WARMUP_SLACK;

/** A cold server crashes at a rate well above what it tolerates: here 2.5 times. */
const CRASH_PER_S = 2.5 * WARMUP_PER_S;
const BACK_AFTER_MS = 2000;
const WORK_MS = 20;
const DEADLINE_MS = 2636;

const bounds = {
  GraceS: 8,
  RetryRatio: 0.2,
  RetryWindowS: 10,
  RetrySlack: 240,
  ConfigApplyMs: 3000,
  StableWindowMs: 4000,
  DrainMs: 3000,
  EvacuationMs: 5000,
  WarmupOverrun: WARMUP_OVERRUN,
  WarmupSlack: WARMUP_SLACK,
};

/** A server that serves any rate while it is warm. Each request that it gets while it is
 * cold is counted. It starts again under the id that it had. */
async function startServer(ip, id, { store, record }) {
  const [port] = await freePorts(ip, 1);
  const arrivals = [];
  const running = new Set();
  const lost = [];
  const sockets = new Set();
  let bornMs = Date.now();
  let coldUntilMs = -Infinity;
  let sequence = 1;
  let incarnation = 1;
  let crashes = 0;
  const leftMs = () => Math.max(Math.round(coldUntilMs - now()), 0);
  const server = createServer((request, response) => {
    const { headers } = request;
    request.resume();
    if (request.url === '/healthz') {
      response.setHeader('Endivegate-Instance-Id', id);
      response.setHeader('Endivegate-Warmup-Ms', String(leftMs()));
      record.add(`${id} is asked for its health`);
      response.end();
      return;
    }
    const attempt = String(headers['endivegate-attempt-id']);
    response.setHeader('Endivegate-Attempt-Id', attempt);
    if (headers['endivegate-expect-instance'] !== id) {
      response.setHeader('Endivegate-Instance-Id', id);
      response.writeHead(421).end();
      return;
    }
    const isCold = now() < coldUntilMs;
    arrivals.push({ atMs: now(), isCold });
    record.add(`${id} runs ${attempt}${isCold ? ' while cold' : ''}`);
    running.add(attempt);
    const lastSecond = arrivals.filter(
      (one) => one.isCold && one.atMs > now() - 1000,
    );
    if (isCold && lastSecond.length > CRASH_PER_S) {
      crash();
      return;
    }
    const startedIn = incarnation;
    setTimeout(() => {
      if (startedIn !== incarnation) return;
      running.delete(attempt);
      response.setHeader('Endivegate-Server-Stamp', `${id}.1`);
      response.end(`answer to ${attempt}`);
    }, WORK_MS);
  });
  server.keepAliveTimeout = 5000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  const listen = () =>
    new Promise((resolve) => server.listen(port, ip, resolve));
  await listen();

  function crash() {
    crashes += 1;
    incarnation += 1;
    lost.push(...running);
    running.clear();
    record.add(`${id} crashes while it runs: ${lost.join(' ')}`);
    coldUntilMs = -Infinity;
    server.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
    setTimeout(async () => {
      await listen();
      bornMs = Date.now();
      record.add(`${id} starts again`);
      becomeCold();
    }, BACK_AFTER_MS);
  }

  function becomeCold() {
    coldUntilMs = now() + WARMUP_S * 1000;
    record.add(`${id} is cold for ${WARMUP_S} s`);
    write();
    setTimeout(write, WARMUP_S * 1000 + 10);
  }
  /** Writes the entry; while the store is down, again until it is accepted. */
  function write() {
    sequence += 1;
    const isAccepted = store.put(`servers/${id}`, {
      Service: SERVICE,
      Address: `${ip}:${port}`,
      Zone: 'kigali-a',
      Version: 'v1',
      Slots: 8,
      State: 'ready',
      WarmupLeftMs: leftMs(),
      Sequence: sequence,
      born: bornMs,
    });
    if (!isAccepted) setTimeout(write, 200);
  }
  write();
  return {
    id,
    arrivals,
    lost,
    crashes: () => crashes,
    becomeCold,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Largest number of requests in any second of those that arrived while cold. */
function mostInASecond(arrivals) {
  const times = arrivals.filter((one) => one.isCold).map((one) => one.atMs);
  return Math.max(
    0,
    ...times.map(
      (fromMs) =>
        times.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1000).length,
    ),
  );
}

/**
 * Plays a case: three entries, some servers, and clients that send at a steady rate, a quarter
 * of it requests that may run once. `plan` is given what it may act on. Returns the exit status.
 */
export async function runColdCase({
  folder,
  requestsPerS,
  serverIds,
  endMs,
  plan,
}) {
  const record = createRecord(folder);
  const store = await startStore('127.0.0.1');
  const putConfig = (version, tenantKeys) =>
    store.put('op/config', {
      Version: version,
      Routes: [
        {
          Name: 'r-1',
          Host: HOST,
          Prefix: '/cufi504/',
          RouteType: 'idempotent',
          TimeoutMs: 10_000,
          TargetLatencyMs: 166,
          Priority: 2,
          Service: SERVICE,
          MaxAttempts: 2,
          Anonymous: false,
        },
        {
          Name: 'r-2',
          Host: HOST,
          Prefix: '/puxa403/',
          RouteType: 'non_idempotent',
          TimeoutMs: 10_000,
          TargetLatencyMs: 216,
          Priority: 2,
          Service: SERVICE,
          MaxAttempts: 1,
          Anonymous: false,
        },
      ],
      Services: [
        {
          Name: SERVICE,
          HealthPath: '/healthz',
          MaxConnections: 550,
          Protocol: 'h1',
          Tls: false,
          WarmupS: WARMUP_S,
          WarmupPerS: WARMUP_PER_S,
        },
      ],
      Limits: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: 4_194_304,
        HeaderTimeoutMs: 3000,
        IdleTimeoutMs: 15_000,
      },
      Tenants: [{ Name: 'hule930', ApiKeys: tenantKeys, Priority: 1 }],
    });
  putConfig(7, [KEY]);
  const servers = [];
  for (const id of serverIds) {
    servers.push(await startServer('127.0.0.1', id, { store, record }));
  }
  const system = await startEntries({
    ips: ['127.0.0.2', '127.0.0.3', '127.0.0.4'],
    storeAddress: store.address,
    bounds,
    record,
  });
  const { entries } = system;
  const areReady = await Promise.all(entries.map((entry) => waitReady(entry)));
  const clients = entries.map(createClient);
  const ends = new Map();
  const once = new Set();
  const failed = new Set();
  if (!areReady.every(Boolean)) {
    record.add('not every entry became ready');
    return finish(2);
  }
  const startMs = now();
  const at = (ms, act) => setTimeout(act, ms - (now() - startMs));
  const [coldServer] = servers;
  plan({
    at,
    store,
    record,
    coldServer,
    changeConfig(version) {
      record.add(`version ${version} of the configuration is written`);
      putConfig(version, [KEY, `key-of-version-${version}`]);
    },
  });
  const sends = [];
  let sent = 0;
  while (now() - startMs < endMs) {
    const dueMs = (sent * 1000) / requestsPerS;
    if (now() - startMs < dueMs) {
      await pause(2);
      continue;
    }
    const client = clients[sent % clients.length];
    const attempt = newAttemptId();
    const isOnce = sent % 4 === 0;
    record.add(
      `client sends ${attempt} to ${entries[sent % 3].name}` +
        (isOnce ? ', which may run once' : ''),
    );
    if (isOnce) once.add(attempt);
    sent += 1;
    sends.push(
      client
        .send({
          method: isOnce ? 'POST' : 'GET',
          path: `/${isOnce ? 'puxa403' : 'cufi504'}/${sent % 60}`,
          ...(isOnce ? { body: `seat ${sent}` } : {}),
          headers: {
            Host: HOST,
            Authorization: `Bearer ${KEY}`,
            'Endivegate-Attempt-Id': attempt,
          },
          deadlineMs: DEADLINE_MS,
        })
        .then(({ status }) => {
          record.add(`client gets ${status} for ${attempt}`);
          ends.set(status, (ends.get(status) ?? 0) + 1);
          if (status !== 200) failed.add(attempt);
        }),
    );
  }
  await Promise.all(sends);
  const most = mostInASecond(coldServer.arrivals);
  const cold = coldServer.arrivals.filter((one) => one.isCold).length;
  const summary =
    `${sent} requests, answers ${JSON.stringify([...ends])}; while cold ` +
    `${coldServer.id} got ${cold}, at most ${most} in one second of ${LIMIT_PER_S}; ` +
    `it crashed ${coldServer.crashes()} times, and ` +
    `${coldServer.lost.filter((one) => once.has(one) && failed.has(one)).length} ` +
    'requests that may run once were lost in it';
  record.add(summary);
  process.stdout.write(`${summary}\n`);
  const isServed = (ends.get(200) ?? 0) > 0.9 * sent;
  return finish(most > LIMIT_PER_S ? 1 : isServed ? 0 : 2);

  async function finish(status) {
    clients.forEach((client) => client.close());
    await system.close();
    servers.forEach((server) => server.close());
    store.close();
    record.write();
    if (process.env.ENTRY_LOGS === '1') {
      entries.forEach(({ log }) => process.stderr.write(log.join('')));
    }
    return status;
  }
}
