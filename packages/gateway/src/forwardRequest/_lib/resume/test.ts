import { expect } from 'chai';
import fc from 'fast-check';
import type { RequestListener } from 'node:http';
import {
  settle,
  startTestFleet,
  type TestFleet,
} from '../../../testFleet/index.ts';
import {
  sign,
  startTestGateway,
  type TestGateway,
} from '../../../testGateway/index.ts';

const SEED = 50;
const PIECES = 4;
const RUNS = 12;

/** Longer than the bytes of an event take over loopback. */
const DELIVERY_MS = 10;

const event = (id: bigint, piece: number): string =>
  `id: ${id}\ndata: piece ${piece}\n\n`;

/** Serves one piece after the last event id, and breaks off unless it is the last. */
function onePieceAtATime(firstId: () => bigint): RequestListener {
  return (request, response) => {
    sign(request, response);
    const lastId = request.headers['last-event-id']?.toString();
    const piece = lastId === undefined ? 0 : Number(BigInt(lastId) - firstId());
    // Repeats the last delivered event, as a target may.
    if (piece > 0) response.write(event(firstId() + BigInt(piece), piece));
    response.write(event(firstId() + BigInt(piece + 1), piece + 1));
    if (piece + 1 === PIECES) response.end();
    else {
      setTimeout(() => request.socket.resetAndDestroy(), DELIVERY_MS);
    }
  };
}

const allPieces = (firstId: bigint): string =>
  Array.from({ length: PIECES }, (_, index) =>
    event(firstId + BigInt(index + 1), index + 1),
  ).join('');

describe('forwardRequest, resumed streams', () => {
  let gateway: TestGateway | undefined;
  let fleet: TestFleet | undefined;

  afterEach(async () => {
    await gateway?.stop();
    fleet?.stop();
    gateway = undefined;
    fleet = undefined;
  });

  // Ids above 2^53 were rounded, so that pieces were dropped as delivered and the stream
  // ended as complete without them.
  it('delivers every piece once for ids of 1 to 40 digits', async () => {
    let firstId = 0n;
    const target = onePieceAtATime(() => firstId);
    const started = await startTestGateway({
      targets: [target, target, target, target],
      route: { maxAttempts: PIECES },
    });
    gateway = started;
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 40 }),
        fc.bigInt({ min: 0n, max: 10n ** 40n }),
        async (digits, random) => {
          firstId = random % 10n ** BigInt(digits);
          const answer = await started.ask('/1');
          expect(answer).to.deep.equal({
            status: 200,
            body: allPieces(firstId),
            isWhole: true,
          });
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // The relaying entry and its peer pass the id on in a header.
  it('delivers every piece once through a peer', async () => {
    const firstId = 2n ** 63n + 1n;
    const received: (string | undefined)[] = [];
    const serve = onePieceAtATime(() => firstId);
    const target: RequestListener = (request, response) => {
      received.push(request.headers['last-event-id']?.toString());
      serve(request, response);
    };
    fleet = await startTestFleet({
      entries: 2,
      targets: [target, target, target, target],
      route: { maxAttempts: PIECES },
    });
    const [cutEntry] = fleet.entries;
    cutEntry?.setPath('resetting');
    const phase = () => cutEntry?.gateway.runtime.state().targetReach.phase;
    while (phase() !== 'cutOff') {
      await fleet.ask(0);
      await settle(DELIVERY_MS);
    }
    received.splice(0);
    const { status } = await fleet.ask(0);
    expect(status).to.equal(200);
    expect(received).to.deep.equal([
      undefined,
      ...Array.from({ length: PIECES - 1 }, (_, index) =>
        String(firstId + BigInt(index + 1)),
      ),
    ]);
  });

  const unordered: Readonly<Record<string, string>> = {
    'has no id': 'data: a\n\n',
    'has an id that is no integer': 'id: 1a\ndata: a\n\n',
    'follows an event with an id and has none': 'id: 1\ndata: a\n\ndata: b\n\n',
  };
  Object.entries(unordered).forEach(([what, bytes]) => {
    // Another target's events cannot be told from the delivered ones, which came twice.
    it(`cuts a stream off whose last event ${what}`, async () => {
      const target: RequestListener = (request, response) => {
        sign(request, response);
        response.write(bytes);
        setTimeout(() => request.socket.resetAndDestroy(), DELIVERY_MS);
      };
      gateway = await startTestGateway({ targets: [target, target] });
      const answer = await gateway.ask('/1');
      expect(answer).to.deep.equal({
        status: 200,
        body: bytes,
        isWhole: false,
      });
      expect(gateway.sends).to.have.length(1);
    });
  });

  it('cuts a stream off whose resumed part cannot be ordered', async () => {
    const broken: RequestListener = (request, response) => {
      sign(request, response);
      response.write('id: 1\ndata: a\n\n');
      setTimeout(() => request.socket.resetAndDestroy(), DELIVERY_MS);
    };
    const withoutIds: RequestListener = (request, response) => {
      sign(request, response);
      response.end('data: a\n\ndata: b\n\n');
    };
    gateway = await startTestGateway({ targets: [broken, withoutIds] });
    const answer = await gateway.ask('/1');
    expect(answer).to.deep.equal({
      status: 200,
      body: 'id: 1\ndata: a\n\n',
      isWhole: false,
    });
  });
});
