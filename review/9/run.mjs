/**
 * The server that received a prompt goes dark. Its prompt has memory set aside at other servers,
 * which the rule LEAK wants back FreeMs after the request that used it has ended.
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
} from '../lib-2/harness.mjs';

const TROUBLE = process.env.TROUBLE !== '0';

/** Figures of tread-gauteng. */
const FREE_MS = 4000;
const STALL_MS = 1500;
const DARK_FOR_MS = 4500;
const HEARTBEAT_MS = 1200;
const KV_TOTAL = 315_000;
const READ_PER_MS = 177;
const PAIRS_PER_M = 0.184;
const DEADLINE_MS = 15_000;
const PROMPT_TOKENS = 450_000;
const EVENTS = 16;

const ENGINES = 6;
const SERVICE = 'kaba98a';
const HOST = 'mino21.example';
const KEY = 'n2ctnfzs989anu6wsjnb';
const DARK_AFTER_MS = 400;

const record = createRecord(import.meta.dirname);
const store = await startStore('127.0.0.1');
let primary;
let endedAtMs = Infinity;

/** An engine that keeps reservations as the pages say, and reads prompts in even parts. */
async function startEngine(ip, id) {
  const [port] = await freePorts(ip, 1);
  const address = `${ip}:${port}`;
  const tickets = new Map();
  const held = [];
  let isDark = false;
  let bornMs = Date.now();
  const dead = new WeakSet();
  const sockets = new Set();
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (isDark || dead.has(request.socket)) return;
      answer(request, response, Buffer.concat(chunks).toString());
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    if (isDark) dead.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(port, ip, resolve));
  const expiry = setInterval(() => {
    tickets.forEach((ticket, name) => {
      if (now() >= ticket.untilMs) free(name, 'it expired');
    });
  }, 20);

  function free(name, reason) {
    const ticket = tickets.get(name);
    if (ticket === undefined) return;
    tickets.delete(name);
    held.push({ ...ticket, name, toMs: now() });
    record.add(`${id} frees ${ticket.tokens} tokens of ${name}: ${reason}`);
  }

  function answer(request, response, body) {
    const { headers } = request;
    const reply = (status, value, extra = {}) => {
      response.writeHead(status, {
        'Content-Type': 'application/json',
        ...extra,
      });
      response.end(JSON.stringify(value));
    };
    if ((headers['endivegate-expect-instance'] ?? id) !== id) {
      reply(421, {}, { 'Endivegate-Instance-Id': id });
    } else if (request.url === '/v1/order') order(JSON.parse(body), reply);
    else run(request, response, reply);
  }

  function order({ Op, Id, TokenCount, HoldMs }, reply) {
    const used = [...tickets.values()].reduce(
      (sum, one) => sum + one.tokens,
      0,
    );
    if (Op === 'release') {
      free(Id, 'it is released');
      reply(200, { Free: KV_TOTAL - used });
    } else if (Op !== 'reserve') reply(400, {});
    else if (tickets.has(Id)) {
      tickets.get(Id).untilMs = now() + HoldMs;
      record.add(`${id} renews ${Id} for ${HoldMs} ms`);
      reply(200, { Free: KV_TOTAL - used });
    } else if (used + TokenCount > KV_TOTAL) reply(409, {});
    else {
      record.add(`${id} sets aside ${TokenCount} tokens for ${Id}`);
      tickets.set(Id, {
        tokens: TokenCount,
        fromMs: now(),
        untilMs: now() + HoldMs,
      });
      reply(200, { Free: KV_TOTAL - used - TokenCount });
    }
  }

  function run(request, response, reply) {
    const { headers } = request;
    const attempt = String(headers['endivegate-attempt-id']);
    const helpers = String(headers['endivegate-helpers'] ?? '')
      .split(',')
      .filter((text) => text !== '')
      .map((text) => {
        const [at, ...name] = text.split('/');
        return { at, name: name.join('/') };
      });
    const missing = helpers.find(
      ({ at, name }) => name !== '' && !(engineAt(at)?.has(name) ?? false),
    );
    response.setHeader('Endivegate-Attempt-Id', attempt);
    if (missing !== undefined) {
      record.add(
        `${id} rejects ${attempt}: ${missing.at} has no ${missing.name}`,
      );
      reply(
        503,
        {},
        { 'Endivegate-Not-Executed': '1', 'At-Server': missing.at },
      );
      return;
    }
    const tokens = Number(
      String(headers['endivegate-token-count']).split(',')[0],
    );
    const wholeMs =
      tokens / READ_PER_MS + (PAIRS_PER_M * tokens * tokens) / 2 / 1e6;
    const readMs = wholeMs / (1 + helpers.length);
    const after = headers['last-event-id'];
    record.add(
      `${id} reads ${attempt} with ${helpers.length} helpers, ` +
        `${helpers.filter(({ name }) => name !== '').length} of them with ` +
        `memory set aside, in ${Math.round(readMs)} ms`,
    );
    const startedIn = bornMs;
    const isOver = () => isDark || startedIn !== bornMs || response.destroyed;
    if (primary === undefined) {
      primary = id;
      helpers
        .filter(({ name }) => name !== '')
        .forEach(({ at, name }) => engineAt(at).use(name));
      if (TROUBLE) setTimeout(goDark, DARK_AFTER_MS);
    }
    setTimeout(async () => {
      if (isOver()) return;
      response.setHeader('Endivegate-Server-Stamp', `${id}.1`);
      response.setHeader('Content-Type', 'text/event-stream');
      for (let number = Number(after ?? 0) + 1; number <= EVENTS; number += 1) {
        if (isOver()) return;
        response.write(`id: ${number}\ndata: piece ${number}\n\n`);
        await pause(40);
      }
      if (isOver()) return;
      response.end();
      if (id === primary) endedAtMs = Math.min(endedAtMs, now());
      record.add(`${id} has answered ${attempt}`);
    }, readMs);
  }

  /** Sends nothing from now on; connections are neither closed nor reset. */
  function goDark() {
    isDark = true;
    sockets.forEach((socket) => dead.add(socket));
    // What the helpers do for it stalls for stall_ms and is then cut off.
    endedAtMs = now() + STALL_MS;
    record.add(`${id} goes dark`);
    setTimeout(() => {
      if (isDark) {
        store.remove(`servers/${id}`);
        record.add(`the entry of ${id} is removed: it was silent`);
      }
    }, 3 * HEARTBEAT_MS);
    setTimeout(() => {
      isDark = false;
      tickets.clear();
      bornMs = Date.now();
      record.add(`${id} starts again`);
      write();
    }, DARK_FOR_MS);
  }

  function write() {
    store.put(`servers/${id}`, {
      Service: SERVICE,
      Address: address,
      Zone: 'jhb-a',
      Version: 'v1',
      Slots: 11,
      State: 'ready',
      WarmupLeftMs: 0,
      Stage: 'unified',
      Models: [{ Name: 'm', Version: 1, Adapters: [] }],
      Sequence: 1,
      born: bornMs,
    });
  }
  write();
  return {
    id,
    address,
    has: (name) => tickets.has(name),
    use(name) {
      tickets.get(name).wasUsed = true;
      record.add(`${id} lends the memory of ${name}`);
    },
    held: () => [
      ...held,
      ...[...tickets].map(([name, ticket]) => ({
        ...ticket,
        name,
        toMs: now(),
      })),
    ],
    close() {
      clearInterval(expiry);
      server.closeAllConnections();
      server.close();
    },
  };
}

const engines = [];
const engineAt = (address) => engines.find((one) => one.address === address);

async function main() {
  store.put('op/config', {
    Version: 7,
    Routes: [
      {
        Name: 'r-1',
        Host: HOST,
        Prefix: '/levo62/',
        RouteType: 'streaming',
        TimeoutMs: 15_000,
        TargetLatencyMs: 3000,
        Priority: 1,
        Service: SERVICE,
        MaxAttempts: 2,
        Anonymous: false,
        SessionAffinity: true,
        StreamResume: true,
        GapTargetMs: 1000,
      },
    ],
    Services: [
      {
        Name: SERVICE,
        HealthPath: '/healthz',
        MaxConnections: 424,
        Protocol: 'h1',
        Tls: false,
        WarmupS: 0,
        WarmupPerS: 0,
        Engine: {
          Slots: 11,
          KvCapacity: KV_TOTAL,
          Stride: 51,
          Models: [{ Name: 'm' }],
          step_ms: 0.85,
          per_seq_ms: 0.00425,
          context_per_k: 0.00285,
          read_per_s: READ_PER_MS * 1000,
          pairs_per_m: PAIRS_PER_M,
          chunk: 2048,
          report_lag_ms: 200,
          usual: { prompt: 14_322, answer: 1285 },
          HopMs: 0.05,
        },
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: 'hule930', ApiKeys: [KEY], Priority: 1 }],
  });
  for (let number = 1; number <= ENGINES; number += 1) {
    engines.push(await startEngine('127.0.0.1', `i-0${number}c41d07`));
  }
  const system = await startEntries({
    ips: ['127.0.0.2', '127.0.0.3'],
    storeAddress: store.address,
    bounds: {
      GraceS: 8,
      RetryRatio: 0.2,
      RetryWindowS: 10,
      RetrySlack: 100,
      ConfigApplyMs: 2000,
      StableWindowMs: 3000,
      DrainMs: 2000,
    },
    record,
    zones: ['jhb-a'],
  });
  const { entries } = system;
  const ready = await Promise.all(entries.map((entry) => waitReady(entry)));
  let status = 2;
  if (ready.every(Boolean)) {
    await pause(1000);
    status = await play(entries[0]);
  }
  await system.close();
  engines.forEach((engine) => engine.close());
  store.close();
  record.write();
  return status;
}

async function play(entry) {
  const client = createClient(entry);
  const attempt = newAttemptId();
  record.add(`client sends ${attempt}, a prompt of ${PROMPT_TOKENS} tokens`);
  const end = await client.send({
    method: 'POST',
    path: '/levo62/se41/',
    headers: {
      Host: HOST,
      Authorization: `Bearer ${KEY}`,
      'Endivegate-Attempt-Id': attempt,
      'Endivegate-Model': 'm',
      'Endivegate-Token-Count': `${PROMPT_TOKENS},800`,
      'Endivegate-Prompt-Prefix': '5c1e07a2:40,e4402b7d:449960',
    },
    body: 'x'.repeat(1000),
    deadlineMs: DEADLINE_MS,
  });
  record.add(
    `client gets ${end.status} for ${attempt}, ${end.isWhole ? 'whole' : 'not whole'}`,
  );
  await pause(1000);
  client.close();
  const used = engines.flatMap((engine) =>
    engine
      .held()
      .filter(({ wasUsed }) => wasUsed === true)
      .map((one) => ({ ...one, id: engine.id, afterMs: one.toMs - endedAtMs })),
  );
  used.forEach(({ id, tokens, name, afterMs }) => {
    record.add(
      `${tokens} tokens stayed set aside at ${id} as ${name} for ` +
        `${Math.round(afterMs)} ms after the request that used them had ended`,
    );
  });
  const longestMs = Math.max(...used.map(({ afterMs }) => afterMs));
  process.stdout.write(
    `the client got ${end.status}; memory stayed set aside for at most ` +
      `${Math.round(longestMs)} ms of ${FREE_MS} ms after its request\n`,
  );
  if (used.length === 0) return 2;
  return longestMs > FREE_MS ? 1 : 0;
}

process.exit(await main());
