/** See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
import { isTroubled, openRecord, startDeployment } from '../lib/case.mjs';
import { BOUNDS, call, pause } from '../lib/entry.mjs';
import {
  createConfig,
  createTenants,
  HOST,
  newAttemptId,
} from '../lib/deployment.mjs';

const ENTRIES = 6;
const ENGINES = 23;
const PLAIN_SERVERS = 3;
const WORK_MS = 15;

/** Time between two requests. */
const PACE_MS = 25;

/** Time for which nothing is disturbed: entries renew their leases every 20 s. */
const CALM_MS = 66_000;

/** The server's entry is removed this long after the connections fell silent. */
const REMOVED_AFTER_MS = 1000;

/** A server that leaves without a word serves on for `DrainMs` and a little longer,
 * "at times many seconds". */
const SERVES_ON_MS = 8000;

const record = openRecord(import.meta.dirname);
const tenants = createTenants();
const ran = [];

const deployment = await startDeployment({
  record,
  entries: ENTRIES,
  config: createConfig({ version: 7, tenants }),
  servers: Array.from({ length: ENGINES + PLAIN_SERVERS }, (_, index) => ({
    service: index < ENGINES ? 'tyre' : 'workshop',
    zone: `zone-${'abc'[index % 3]}`,
    slots: index < ENGINES ? 11 : 6,
    handle({ id, attempt, answer }) {
      ran.push({ id, attempt, atMs: performance.now() });
      setTimeout(() => answer(200, `done ${attempt}`), WORK_MS);
    },
  })),
});
const { entries, servers, store, storeProxies, ended, finish } = deployment;
const sent = new Map();

async function ask() {
  const attempt = newAttemptId();
  const entry = entries[Math.floor(Math.random() * entries.length)];
  const request = { entry: entry.name, sentAtMs: performance.now() };
  sent.set(attempt, request);
  const result = await call(entry.front, {
    path: `/casing/${attempt}`,
    headers: {
      Host: HOST,
      'Endivegate-Attempt-Id': attempt,
      'Endivegate-Deadline-Ms': '1000',
      Authorization: `Bearer ${tenants[1].ApiKeys[0]}`,
    },
    timeoutMs: 2000,
  });
  Object.assign(request, result);
}

const timer = setInterval(ask, PACE_MS);
await pause(CALM_MS);
const silentAtMs = performance.now();
if (isTroubled) {
  const count = storeProxies.reduce(
    (sum, proxy) => sum + proxy.openConnections(),
    0,
  );
  storeProxies.forEach((proxy) => proxy.silenceOpen());
  record.write(`the ${count} open connections to the store go silent`);
}
await pause(REMOVED_AFTER_MS);
const leaving = servers[ENGINES + 1];
const leavingId = leaving.id();
leaving.stopBeat();
store.remove(`servers/${leavingId}`);
const removedAtMs = performance.now();
record.write(`the entry of ${leavingId} is removed; it serves on`);
await pause(SERVES_ON_MS);
leaving.close();
record.write(`${leavingId} ends`);
await pause(1000);
clearInterval(timer);
await pause(2500);

// Machines are in touch again StableWindowMs after their connections were disturbed.
const inTouchFromMs = isTroubled
  ? silentAtMs + BOUNDS.StableWindowMs
  : -Infinity;
const boundFromMs = Math.max(inTouchFromMs, removedAtMs + BOUNDS.DrainMs);
record.write('machines in touch, and the bound holds, from here', boundFromMs);
const broken = ran.filter(({ id, attempt, atMs }) => {
  const request = sent.get(attempt);
  return (
    id === leavingId &&
    atMs > boundFromMs &&
    request !== undefined &&
    request.sentAtMs > inTouchFromMs
  );
});
broken.forEach(({ attempt, atMs }) =>
  record.write(
    `${attempt} reaches ${leavingId} from ${sent.get(attempt).entry}, ${Math.round(atMs - removedAtMs)} ms after its removal`,
    atMs,
  ),
);
const EVENTS = /"event":"(store\.[^"]*|target\.changed)"/;
entries.forEach(({ name, lines }) =>
  lines
    .join('')
    .split('\n')
    .filter(
      (line) =>
        EVENTS.test(line) &&
        (line.includes('"store.') || line.includes(leavingId)),
    )
    .forEach((line) => record.write(`log of ${name}: ${line}`)),
);
const all = [...sent.values()];
const ranBy = new Map(ran.map(({ attempt, id }) => [attempt, id]));
sent.forEach(({ entry, status, reason, sentAtMs }, attempt) =>
  record.write(
    `${attempt} sent to ${entry}: ${status || reason}` +
      (ranBy.has(attempt) ? `, run by ${ranBy.get(attempt)}` : ', not run'),
    sentAtMs,
  ),
);
const served = all.filter(({ status }) => status === 200).length;
record.write(`${served} of ${all.length} requests answered with 200`);
if (ended.length > 0) finish(2, 'an entry ended by itself');
if (served < all.length / 2) finish(2, 'too few requests are served');
if (broken.length > 0) {
  const last = broken.at(-1);
  const from = new Set(broken.map(({ attempt }) => sent.get(attempt).entry));
  finish(
    1,
    `DRAIN broken: ${broken.length} requests from ${from.size} machines in touch reach a server that is gone, the last ${Math.round(last.atMs - removedAtMs)} ms after its removal`,
  );
}
finish(0, 'DRAIN held');
