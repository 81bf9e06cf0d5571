import { expect } from 'chai';
import * as fc from 'fast-check';
import { initialRoster, reduceRoster } from '../targetRoster/index.ts';
import {
  BOUND,
  busiestSecond,
  COLD_FROM_MS,
  simulateColdTarget,
  type SimulatedFault,
} from './_lib/testFleet.ts';
import {
  coldReports,
  type ColdTargetsState,
  initialColdTargets,
  reduceColdTargets,
  warmUpObstacle,
} from './index.ts';

/** Fleets of 195 entries take several seconds on a busy machine. */
const SIMULATION_TIMEOUT_MS = 240_000;

/** Long, so that faults meet a cold target. */
const rule = { warmUpMs: 60_000, requestsPerS: 14 };

/** What a target may get in a second, as the users' rule says. */
const mostInSecond = (requestsPerS: number) =>
  BOUND.overrun * requestsPerS + BOUND.slack;

const anyFault: fc.Arbitrary<SimulatedFault> = fc.record({
  kind: fc.constantFrom(
    ...(['cutOff', 'frozen', 'replaced', 'restarted', 'stopped'] as const),
  ),
  atMs: fc.integer({ min: 0, max: 12_000 }),
  forMs: fc.integer({ min: 300, max: 8000 }),
  from: fc.double({ min: 0, max: 0.99, noNaN: true }),
  part: fc.double({ min: 0, max: 1, noNaN: true }),
});

/** Mostly small fleets: large ones take seconds each. */
const anySize = fc.oneof(
  { weight: 6, arbitrary: fc.integer({ min: 1, max: 40 }) },
  { weight: 1, arbitrary: fc.integer({ min: 41, max: 195 }) },
);

describe('spacing of requests to a cold target', () => {
  // Guards against shares that add up to more than the bound when the entries know
  // different parts of the fleet.
  it('keeps the bound in any second through stops, partitions and late news', () => {
    fc.assert(
      fc.property(
        anySize,
        fc.array(anyFault, { maxLength: 4 }),
        fc.integer({ min: 0, max: 2000 }),
        fc.constantFrom(0.5, 2, 14, 60),
        (entries, faults, newsMs, requestsPerS) => {
          const arrivalsMs = simulateColdTarget({
            entries,
            faults,
            forMs: 16_000,
            rule: { ...rule, requestsPerS },
            newsDelayMs: (entry) => (entry * 377) % (newsMs + 1),
            travelMs: (send) => (send * 37) % 61,
          });
          const most = busiestSecond(arrivalsMs);
          expect(most).to.be.at.most(mostInSecond(requestsPerS));
        },
      ),
      { seed: 4, numRuns: 40, endOnFailure: true },
    );
  }).timeout(SIMULATION_TIMEOUT_MS);

  // Guards against a bound that is kept by sending next to nothing.
  [1, 2, 6, 11, 12, 19, 20, 33, 82, 195].forEach((entries) => {
    it(`lets ${entries} entries use at least 0.7 of the rate`, () => {
      // Each rate takes 20 s with 195 entries.
      const rates = entries > 100 ? [14] : [2, 14, 60];
      rates.forEach((requestsPerS) => {
        const arrivalsMs = simulateColdTarget({
          entries,
          forMs: COLD_FROM_MS + 10_000,
          rule: { ...rule, requestsPerS },
        });
        expect(arrivalsMs.length / 10).to.be.above(0.7 * requestsPerS);
      });
    }).timeout(SIMULATION_TIMEOUT_MS);
  });
});

const listed = {
  ...{ id: 't', service: 's', address: '10.0.0.1:80', dataCentre: 'a' },
  ...{ draining: false, slots: 8 },
};

/** Ticks an entry that is alone. */
function tick(
  state: ColdTargetsState,
  atMs: number,
  target: { readonly bornMs: number; readonly warmUpLeftMs?: number },
) {
  const roster = reduceRoster(initialRoster, {
    type: 'roster.listed',
    atMs,
    targets: [{ ...listed, ...target }],
  }).state;
  return reduceColdTargets(state, {
    type: 'coldTargets.ticked',
    atMs,
    rules: new Map([['s', { warmUpMs: 3000, requestsPerS: 14 }]]),
    bound: BOUND,
    targets: [...roster.targets.values()],
    members: [],
    own: { address: 'e0', dataCentre: 'a', startedAtMs: 0, isServing: true },
  });
}

const rosterTarget = (bornMs: number, warmUpLeftMs?: number) => {
  const target = { ...listed, bornMs, ...(warmUpLeftMs && { warmUpLeftMs }) };
  const event = { type: 'roster.listed', atMs: 0, targets: [target] } as const;
  const [first] = reduceRoster(initialRoster, event).state.targets.values();
  if (first === undefined) throw new Error('no target');
  return first;
};

describe('reduceColdTargets', () => {
  it('takes processes of the first list for warm, and later ones for cold', () => {
    const first = tick(initialColdTargets, 0, { bornMs: 1 });
    expect(first.effects).to.deep.equal([]);
    const restarted = tick(first.state, 200, { bornMs: 2 });
    expect(restarted.effects).to.deep.equal([
      {
        ...{ type: 'coldTargets.changed', id: 't', isCold: true },
        ...{ leftMs: 3000, source: 'started', isClamped: false },
      },
    ]);
    const warm = tick(restarted.state, 3300, { bornMs: 2 });
    expect(warm.state.cold.size).to.equal(0);
    expect(warm.effects[0]?.source).to.equal('elapsed');
  });

  // Guards against requests between the list entry of a new process and the tick
  // that finds it.
  it('sends nothing to a new process before the next tick', () => {
    const { state } = tick(initialColdTargets, 0, { bornMs: 1 });
    const untilMs = (bornMs: number) =>
      warmUpObstacle(state, rosterTarget(bornMs), 100)?.untilMs;
    expect(untilMs(1)).to.equal(undefined);
    expect(untilMs(2)).to.equal(300);
    const early = warmUpObstacle(initialColdTargets, rosterTarget(1, 500), 0);
    expect(early?.obstacle).to.equal('warmingUp');
  });

  it('lets the newest report on the newest process win', () => {
    const first = tick(initialColdTargets, 0, { bornMs: 1 }).state;
    const receive = (bornMs: number, leftMs: number, atMs: number) => ({
      ...{ type: 'coldTargets.received' as const },
      reports: [{ id: 't', bornMs, leftMs, atMs }],
    });
    const leftMs = (...events: readonly ReturnType<typeof receive>[]) =>
      events
        .reduce((now, event) => reduceColdTargets(now, event).state, first)
        .cold.get('t')?.leftMs;
    expect(leftMs(receive(1, 500, 20), receive(1, 900, 10))).to.equal(500);
    expect(leftMs(receive(1, 900, 10), receive(1, 500, 20))).to.equal(500);
    expect(leftMs(receive(2, 900, 10), receive(1, 500, 20))).to.equal(900);
    expect(leftMs(receive(1, 1e12, 10))).to.equal(600_000);
  });

  it('ends by a response only if its request was sent after the report', () => {
    const first = tick(initialColdTargets, 0, { bornMs: 1 }).state;
    const respond = (leftMs: number, sentAtMs: number, atMs: number) => ({
      ...{ type: 'coldTargets.responded' as const, sentAtMs },
      report: { id: 't', bornMs: 1, leftMs, atMs },
    });
    const cold = reduceColdTargets(first, respond(3000, 0, 100)).state;
    const early = reduceColdTargets(cold, respond(0, 50, 200)).state;
    expect(early.cold.get('t')?.leftMs).to.equal(3000);
    const late = reduceColdTargets(cold, respond(0, 150, 200)).state;
    expect(late.cold.get('t')?.leftMs).to.equal(0);
  });

  it('reports what it was told by targets, and to new entries what peers said', () => {
    const first = tick(initialColdTargets, 0, { bornMs: 1 }).state;
    const reports = [{ id: 't', bornMs: 1, leftMs: 500, atMs: 10 }];
    const event = { type: 'coldTargets.received', reports } as const;
    const { state } = reduceColdTargets(first, event);
    const of = (includeReceived: boolean, nowMs: number) =>
      coldReports(state, { includeReceived, nowMs });
    expect(of(false, 20)).to.deep.equal([]);
    expect(of(true, 20)).to.deep.equal(reports);
    expect(of(true, 510)).to.deep.equal([]);
  });

  // Guards against a permit that an entry has kept through a freeze.
  it('has no permits after a freeze until it has settled again', () => {
    const started = tick(initialColdTargets, 0, { bornMs: 1 }).state;
    const settled = tick(started, 800, { bornMs: 1 }).state;
    const cold = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15].reduce(
      (state, step) =>
        tick(state, 800 + 200 * step, { bornMs: 2, warmUpLeftMs: 9000 }).state,
      settled,
    );
    const target = rosterTarget(2);
    expect(warmUpObstacle(cold, target, 3990)).to.equal(undefined);
    expect(warmUpObstacle(cold, target, 7800)?.obstacle).to.equal('warmingUp');
    const resumed = tick(cold, 7900, { bornMs: 2, warmUpLeftMs: 9000 }).state;
    expect(resumed.cold.get('t')?.spacingMs).to.equal(Infinity);
  });
});
