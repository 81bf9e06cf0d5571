import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import { evacuatedDataCentres } from '@endivegate/core/forwarding';
import { startGateway } from '../../startGateway/index.ts';
import { sign, testGatewayOptions } from '../../testGateway/index.ts';
import { settle, startTestFleet, type TestFleet } from '../index.ts';

const ENTRIES = 4;

/** Targets 0, 3 and 6 are in data centre a, the others in b and c. */
const TARGETS = 9;
const DATA_CENTRES = 3;

/** From this long after the request, no request may arrive there. */
const IN_FORCE_AFTER_MS = 1500;
const WATCHED_MS = 1500;
const REQUEST_INTERVAL_MS = 15;

describe('evacuation of a data centre', () => {
  let fleet: TestFleet | undefined;
  let arrivals: { readonly target: number; readonly atMs: number }[] = [];
  let load = new AbortController();

  afterEach(() => {
    load.abort();
    fleet?.stop();
    fleet = undefined;
    arrivals = [];
  });

  const answer =
    (target: number): RequestListener =>
    (request, response) => {
      arrivals.push({ target, atMs: performance.now() });
      sign(request, response);
      response.end('fine');
    };

  async function start(): Promise<TestFleet> {
    fleet = await startTestFleet({
      entries: ENTRIES,
      targets: Array.from({ length: TARGETS }, (_, index) => answer(index)),
      route: { repeat: 'idempotent' },
    });
    return fleet;
  }

  /** Asks all entries in turn until the test ends; returns what they answer. */
  function startLoad(started: TestFleet): readonly number[] {
    const statuses: number[] = [];
    load = new AbortController();
    const { signal } = load;
    void (async () => {
      for (let count = 0; !signal.aborted; count += 1) {
        void started.ask(count % ENTRIES).then(({ status }) => {
          statuses.push(status);
        });
        await settle(REQUEST_INTERVAL_MS);
      }
    })();
    return statuses;
  }

  /** Entry 0 reads the request, or its removal, in the store; no other entry does. */
  function write(
    started: TestFleet,
    revision: number,
    dataCentres: readonly string[],
    isEvacuated = true,
  ): number {
    started.entries[0]?.gateway.runtime.dispatch({
      type: 'evacuations.reported',
      atMs: performance.now(),
      reports: dataCentres.map((dataCentre) => ({
        ...{ dataCentre, era: 1, revision, isEvacuated, ageMs: 0 },
      })),
      source: 'store',
    });
    return performance.now();
  }

  const arrivalsInA = (fromMs: number): number =>
    arrivals.filter(
      ({ target, atMs }) => target % DATA_CENTRES === 0 && atMs > fromMs,
    ).length;

  // Guards against entries that send to an evacuated data centre because the store
  // does not answer them.
  it('is in force at all entries within 1500 ms, though one alone reads the store, and ends with the request', async () => {
    const started = await start();
    const statuses = startLoad(started);
    await settle(500);
    expect(arrivalsInA(0)).to.be.greaterThan(0);
    const atMs = write(started, 5, ['a']);
    await settle(IN_FORCE_AFTER_MS + WATCHED_MS);
    expect(arrivalsInA(atMs + IN_FORCE_AFTER_MS)).to.equal(0);
    const removedAtMs = write(started, 7, ['a'], false);
    await settle(IN_FORCE_AFTER_MS);
    expect(arrivalsInA(removedAtMs)).to.be.greaterThan(0);
    expect(statuses.every((status) => status === 200)).to.equal(true);
  });

  // Guards against an entry that starts without the store and sends by an empty list.
  it('is told to an entry that starts later', async () => {
    const started = await start();
    write(started, 5, ['a']);
    await settle(IN_FORCE_AFTER_MS);
    const seed = started.entries[1]?.peerAddress ?? '';
    const late = startGateway(
      await testGatewayOptions({ name: 'late', seedAddresses: [seed] }),
    );
    const { state } = late.runtime;
    try {
      const startedAtMs = performance.now();
      while (
        evacuatedDataCentres(state().evacuations).length === 0 &&
        performance.now() - startedAtMs < 5000
      ) {
        await settle(REQUEST_INTERVAL_MS);
      }
      expect(performance.now() - startedAtMs).to.be.lessThan(IN_FORCE_AFTER_MS);
    } finally {
      late.stop();
    }
  });

  // Guards against holding requests until their deadline when no target is left.
  it('refuses at once when all data centres are evacuated', async () => {
    const started = await start();
    write(started, 5, ['a', 'b', 'c']);
    const askedAtMs = performance.now();
    const { status, retryAfterS } = await started.ask(0);
    expect(performance.now() - askedAtMs).to.be.lessThan(500);
    expect(status).to.equal(503);
    expect(retryAfterS).to.be.greaterThan(0);
    expect(arrivals).to.deep.equal([]);
  });
});
