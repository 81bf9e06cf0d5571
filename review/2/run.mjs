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
const SERVERS = 3;
const CRASHING_PATH = '/casing/truck-17';

/** The id of a server: `servers/ID` is a key of the store, of 200 bytes at most.
 * With IDS=short it is the last part alone, for comparison. */
const ID_PREFIX =
  process.env.IDS === 'short'
    ? ''
    : 'workshop-api/release-2026-11-30/instance-group-general-purpose-04/' +
      'workshop-api-7d9f8c6b5d-x2x9k/jhb-a/rack-12/unit-31/';

/** The request that crashes servers comes again after this time. */
const COMES_AGAIN_MS = 2000;
const END_AT_MS = 40_000;

/** A server that has crashed is back after some seconds. */
const BACK_AFTER_MS = 2500;
const WORK_MS = 43;
const BOOKING_PACE_MS = 330;
const MAX_RETRIES = 3;

const record = openRecord(import.meta.dirname);
const tenants = createTenants();
const crashes = [];
const bookings = new Map();

const deployment = await startDeployment({
  record,
  entries: ENTRIES,
  config: createConfig({ version: 7, tenants }),
  servers: Array.from({ length: SERVERS }, (_, index) => ({
    service: 'workshop',
    zone: `zone-${'abc'[index]}`,
    idPrefix: ID_PREFIX,
    handle({ id, self, request, attempt, answer }) {
      const shortId = id.slice(ID_PREFIX.length);
      if (isTroubled && request.url === CRASHING_PATH) {
        crashes.push({ attempt, atMs: performance.now() });
        record.write(`${shortId} begins to run ${attempt}, which crashes it`);
        setTimeout(() => self.crash(BACK_AFTER_MS), WORK_MS);
        return;
      }
      const booking = bookings.get(attempt);
      if (booking !== undefined) booking.ranAt = shortId;
      setTimeout(() => answer(200, `done ${attempt}`), WORK_MS);
    },
  })),
});
const { entries, servers, ended, finish } = deployment;
record.write(`the servers' ids have ${servers[0].id().length} characters`);
const pick = () => entries[Math.floor(Math.random() * entries.length)];

function headersOf(attempt, tenant) {
  return {
    Host: HOST,
    'Endivegate-Attempt-Id': attempt,
    'Endivegate-Deadline-Ms': '1000',
    Authorization: `Bearer ${tenant.ApiKeys[0]}`,
  };
}

/** The request that crashes servers: always the same path, caller and body. */
async function sendCrashing() {
  const attempt = newAttemptId();
  const entry = pick();
  const { status, reason, sentAtMs } = await call(entry.front, {
    path: CRASHING_PATH,
    headers: headersOf(attempt, tenants[0]),
    timeoutMs: 2000,
  });
  record.write(
    `${attempt} (${CRASHING_PATH}) to ${entry.name}: ${status || reason}`,
    sentAtMs,
  );
}

/** Bookings of other callers, which may run once at most. */
async function sendBooking() {
  const attempt = newAttemptId();
  const entry = pick();
  const booking = { attempt, entry: entry.name, ranAt: undefined };
  bookings.set(attempt, booking);
  const result = await call(entry.front, {
    method: 'POST',
    path: `/booking/${attempt}`,
    headers: headersOf(attempt, tenants[1]),
    body: '{"truck":4}',
    timeoutMs: 2000,
  });
  Object.assign(booking, result);
}

const bookingTimer = setInterval(sendBooking, BOOKING_PACE_MS);
const crashTimer = setInterval(sendCrashing, COMES_AGAIN_MS);
await pause(END_AT_MS);
clearInterval(bookingTimer);
clearInterval(crashTimer);
await pause(2500);

const all = [...bookings.values()];
all.forEach(({ attempt, entry, ranAt, status, reason, sentAtMs }) =>
  record.write(
    `booking ${attempt} sent to ${entry}: ${status || reason}` +
      (ranAt === undefined ? ', not run' : `, run by ${ranAt}`),
    sentAtMs,
  ),
);
const served = all.filter(({ status }) => status === 200).length;
record.write(`${served} of ${all.length} bookings answered with 200`);
if (ended.length > 0) finish(2, 'an entry ended by itself');
if (!isTroubled) {
  if (served < all.length / 2) finish(2, 'too few requests are served');
  finish(0, 'BUDGET held: no request crashes a server');
}
const third = crashes[2];
if (third === undefined) finish(2, 'the request has not crashed three servers');
const boundFromMs = third.atMs + WORK_MS + BOUNDS.StableWindowMs;
record.write('the bound holds from here', boundFromMs);
const late = crashes.filter(({ atMs }) => atMs > boundFromMs);
// Several servers that one client attempt reached count as one retry.
const retries = new Set(late.map(({ attempt }) => attempt));
const lost = all.filter(
  ({ ranAt, status, sentAtMs }) =>
    ranAt !== undefined && status !== 200 && sentAtMs > boundFromMs,
);
lost.forEach(({ attempt, ranAt, status, reason, sentAtMs }) =>
  record.write(
    `booking ${attempt} ran at ${ranAt}, and its caller got ${status || reason}`,
    sentAtMs,
  ),
);
if (retries.size > MAX_RETRIES) {
  finish(
    1,
    `BUDGET broken: the request reached servers in ${retries.size} retries (${late.length} servers), sent by machines in touch later than the bound after it had crashed the third; ${lost.length} bookings of others ran and were lost`,
  );
}
finish(0, `BUDGET held: ${retries.size} retries`);
