import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import { setTimeout as settle } from 'node:timers/promises';
import {
  startTestFleet,
  type TestFleet,
  type TestFleetAnswer,
} from '../testFleet/index.ts';
import { sign, testConfig } from '../testGateway/index.ts';

const ENTRIES = 5;
const REQUESTS_PER_S = 4;

/** What a cold target may get in any second. */
const MAX_IN_SECOND = 1.5 * REQUESTS_PER_S + 5;

/** Entries have no share of cold targets before this. */
const SETTLED_AFTER_MS = 4000;
const COLD_MS = 3000;

/** About 17 requests a second for each of six targets: more than the bound. */
const REQUEST_INTERVAL_MS = 10;

const answer: RequestListener = (request, response) => {
  sign(request, response);
  response.end('fine');
};

/** Configures a warm-up at all entries. */
function configure(fleet: TestFleet): void {
  const config = testConfig({ repeat: 'idempotent' });
  const warmUp = {
    warmUpMs: COLD_MS,
    warmUpRequestsPerS: REQUESTS_PER_S,
  };
  const services = config.services.map((one) => ({ ...one, ...warmUp }));
  fleet.entries.forEach(({ gateway }) => {
    gateway.runtime.applyConfig({ ...config, version: 2, services }, 'test');
  });
}

/** Lists targets with another start time at all entries, one after the other. */
async function restart(fleet: TestFleet, ids: readonly string[]) {
  const dispatches = fleet.entries.map(async ({ gateway }, index) => {
    await settle(index * 40);
    const { targets } = gateway.runtime.state().roster;
    ids
      .flatMap((id) => targets.get(id) ?? [])
      .forEach(({ service, address, dataCentre, slots, id }) => {
        gateway.runtime.dispatch({
          type: 'roster.put',
          atMs: performance.now(),
          target: {
            ...{ id, service, address, dataCentre, slots },
            ...{ draining: false, bornMs: 1 },
          },
        });
      });
  });
  await Promise.all(dispatches);
}

describe('createColdTargetTicker', () => {
  let fleet: TestFleet | undefined;

  afterEach(() => {
    fleet?.stop();
    fleet = undefined;
  });

  // Guards against entries that each send to a cold target as if it were warm, or as
  // if its requests were theirs alone.
  it('keeps the bound while all targets of a data centre are cold under load', async () => {
    const arrivals = Array.from({ length: 6 }, (): number[] => []);
    const started = await startTestFleet({
      entries: ENTRIES,
      targets: arrivals.map((times): RequestListener => (request, response) => {
        times.push(performance.now());
        answer(request, response);
      }),
      route: { repeat: 'idempotent' },
    });
    fleet = started;
    configure(started);
    await settle(SETTLED_AFTER_MS);
    const answers: Promise<TestFleetAnswer>[] = [];
    const askFor = async (forMs: number): Promise<void> => {
      const endsAtMs = performance.now() + forMs;
      while (performance.now() < endsAtMs) {
        answers.push(started.ask(answers.length % ENTRIES));
        await settle(REQUEST_INTERVAL_MS);
      }
    };
    await askFor(500);
    await restart(started, ['t0', 't3']);
    const coldFromMs = performance.now();
    await askFor(COLD_MS - 500);
    const cold = [arrivals[0], arrivals[3]].map((times = []) =>
      times.filter((ms) => ms >= coldFromMs),
    );
    cold.forEach((times) => {
      const counts = times.map(
        (fromMs) =>
          times.filter((ms) => ms >= fromMs && ms < fromMs + 1000).length,
      );
      expect(Math.max(0, ...counts)).to.be.at.most(MAX_IN_SECOND);
    });
    expect(cold.flat().length).to.be.above(0);
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect(new Set(statuses)).to.deep.equal(new Set([200]));
  }).timeout(20_000);

  // Guards against entries that learn of a cold target only from its own responses.
  it('tells all entries when a response says that its target is cold', async () => {
    const started = await startTestFleet({
      entries: ENTRIES,
      targets: [
        (request, response) => {
          response.setHeader('x-warm-up-ms', '9000');
          answer(request, response);
        },
      ],
      route: { repeat: 'idempotent' },
    });
    fleet = started;
    configure(started);
    await settle(500);
    const first = await started.ask(0);
    await settle(500);
    const isCold = started.entries.map(({ gateway }) =>
      gateway.runtime.state().coldTargets.cold.has('t0'),
    );
    const refused = await started.ask(1);
    expect(first.status).to.equal(200);
    expect(isCold).to.deep.equal(isCold.map(() => true));
    expect(refused).to.deep.equal({
      status: 503,
      retryAfterS: 1 / REQUESTS_PER_S,
    });
  }).timeout(20_000);
});
