/** See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
import { request as httpRequest } from 'node:http';
import { isTroubled, openRecord, startDeployment } from '../lib/case.mjs';
import { pause } from '../lib/entry.mjs';
import {
  createConfig,
  createTenants,
  HOST,
  newAttemptId,
} from '../lib/deployment.mjs';

const ENTRIES = 6;
const ENGINES = 23;
const PIECES = 33;
const FIRST_PIECE_MS = 60;
const PIECE_MS = 44;
const PACE_MS = 50;
const TRAFFIC_MS = 14_000;

/** `srv_crash`: share 0.14 for 4.5 s. */
const CRASHED = Math.floor(ENGINES * 0.14);
const CRASH_AT_MS = [4000, 9000];
const BACK_AFTER_MS = 4500;

/** Ids are 64-bit numbers: 31 bits of the request's own, then the piece. With
 * IDS=small they are the numbers of the pieces alone, for comparison. */
const hasSmallIds = process.env.IDS === 'small';
const PIECE_BITS = 32n;

const record = openRecord(import.meta.dirname);
const tenants = createTenants();

function firstIdOf(path) {
  if (hasSmallIds) return 0n;
  const own = BigInt(`0x${path.split('/')[2]}`) & 0x7fffffffn;
  return own << PIECE_BITS;
}

const pieceOf = (path, id) => Number(BigInt(id) - firstIdOf(path));

function runStream({ id, self, request, response, attempt }) {
  const path = request.url;
  const lastId = request.headers['last-event-id'];
  let piece = lastId === undefined ? 0 : Math.max(pieceOf(path, lastId), 0);
  record.write(
    `${id} runs ${attempt}` +
      (lastId === undefined ? '' : `, resumed after id ${lastId}`),
  );
  response.writeHead(200, { 'Content-Type': 'text/event-stream' });
  const writeNext = () => {
    if (response.destroyed || !self.isUp()) return;
    piece += 1;
    if (piece <= PIECES) {
      const eventId = firstIdOf(path) + BigInt(piece);
      response.write(`id: ${eventId}\ndata: piece ${piece} of ${PIECES}\n\n`);
    }
    if (piece >= PIECES) response.end();
    else setTimeout(writeNext, PIECE_MS);
  };
  setTimeout(writeNext, FIRST_PIECE_MS);
}

const deployment = await startDeployment({
  record,
  entries: ENTRIES,
  config: createConfig({ version: 7, tenants }),
  servers: Array.from({ length: ENGINES }, (_, index) => ({
    service: 'tyre',
    zone: `zone-${'abc'[index % 3]}`,
    slots: 11,
    handle: runStream,
  })),
});
const { entries, servers, ended, finish } = deployment;
const streams = [];

function sendStream() {
  const attempt = newAttemptId();
  const entry = entries[Math.floor(Math.random() * entries.length)];
  const [host, port] = entry.front.split(':');
  const path = `/tread/${attempt}`;
  const stream = {
    attempt,
    entry: entry.name,
    path,
    sentAtMs: performance.now(),
    text: '',
    end: 'open',
  };
  streams.push(stream);
  const outgoing = httpRequest({
    host,
    port,
    method: 'POST',
    path,
    agent: false,
    headers: {
      Host: HOST,
      'Endivegate-Attempt-Id': attempt,
      'Endivegate-Deadline-Ms': '10000',
      'Endivegate-Model': 'm',
      'Endivegate-Token-Count': '4960,1700',
      'Endivegate-Prompt-Prefix': `5c1e07a2:40,${attempt}:4920`,
      Authorization: `Bearer ${tenants[1].ApiKeys[0]}`,
    },
  });
  outgoing.on('response', (response) => {
    stream.status = response.statusCode;
    response.on('data', (bytes) => {
      stream.text += bytes.toString();
    });
    response.on('end', () => {
      stream.end = response.complete ? 'complete' : 'cut';
    });
    response.on('error', () => {
      stream.end = 'cut';
    });
  });
  outgoing.on('error', () => {
    if (stream.end === 'open') stream.end = 'cut';
  });
  outgoing.end('{"question":"tread depth"}');
}

const timer = setInterval(sendStream, PACE_MS);
const beganAtMs = performance.now();
if (isTroubled) {
  for (const [round, atMs] of CRASH_AT_MS.entries()) {
    await pause(atMs - (performance.now() - beganAtMs));
    const crashed = servers.slice(round * CRASHED, (round + 1) * CRASHED);
    record.write(`servers crash: ${crashed.map((one) => one.id()).join(', ')}`);
    crashed.forEach((server) => server.crash(BACK_AFTER_MS));
  }
}
await pause(TRAFFIC_MS - (performance.now() - beganAtMs));
clearInterval(timer);
await pause(5000);

const expected = Array.from({ length: PIECES }, (_, n) => n + 1).join(',');
const broken = [];
streams.forEach((stream) => {
  const pieces = [...stream.text.matchAll(/^data: piece (\d+)/gm)]
    .map((match) => match[1])
    .join(',');
  const isWhole = pieces === expected;
  if (stream.status === 200 && stream.end === 'complete' && !isWhole) {
    broken.push(stream);
    record.write(
      `${stream.attempt} ended as complete with the pieces ${pieces}`,
      stream.sentAtMs,
    );
  } else if (!isWhole) {
    record.write(
      `${stream.attempt}: ${stream.status ?? 'no answer'}, ${stream.end}`,
      stream.sentAtMs,
    );
  }
});
streams.forEach(({ attempt, entry, status, end, text, sentAtMs }) =>
  record.write(
    `${attempt} sent to ${entry}: ${status ?? 'no answer'}, ${end}, ${text.split('\ndata: ').length - 1} pieces`,
    sentAtMs,
  ),
);
const whole = streams.filter(
  ({ status, end }) => status === 200 && end === 'complete',
).length;
record.write(`${whole} of ${streams.length} streams ended as complete`);
if (ended.length > 0) finish(2, 'an entry ended by itself');
if (whole < streams.length / 2) finish(2, 'too few streams are served');
if (broken.length > 0) {
  finish(
    1,
    `ORDER broken: ${broken.length} of ${whole} streams that ended as complete lack pieces or repeat some`,
  );
}
finish(0, 'ORDER held');
