import { expect } from 'chai';
import fc from 'fast-check';
import {
  type EntryFault,
  type FleetPlan,
  runFleet,
  STRONG_INTERVAL,
} from './fleetModel.ts';

const KINDS_OF_FAULT = ['killed', 'frozen', 'storeSilent', 'cut'] as const;

/** A fault near the time of a change; half of them are of entries that are likely to
 * watch the store. */
const faultOf = (
  entries: number,
  writesMs: readonly number[],
): fc.Arbitrary<EntryFault> =>
  fc
    .record({
      kind: fc.constantFrom<EntryFault['kind']>(...KINDS_OF_FAULT),
      entry: fc.nat({ max: entries - 1 }),
      isStrong: fc.boolean(),
      writeMs: fc.constantFrom(...writesMs),
      delayMs: fc.integer({ min: -1500, max: 500 }),
      forMs: fc.integer({ min: 300, max: 8000 }),
    })
    .map(({ kind, entry, isStrong, writeMs, delayMs, forMs }) => ({
      kind,
      entry: isStrong ? entry - (entry % STRONG_INTERVAL) : entry,
      fromMs: Math.max(writeMs + delayMs, 0),
      forMs,
    }));

/** Fleets in which at most a third of the entries are in trouble. */
const plans: fc.Arbitrary<FleetPlan> = fc
  .record({
    entries: fc.integer({ min: 2, max: 140 }),
    writesMs: fc
      .array(fc.integer({ min: 500, max: 10_000 }), {
        minLength: 1,
        maxLength: 12,
      })
      .map((times) => times.toSorted((a, b) => a - b)),
  })
  .chain(({ entries, writesMs }) =>
    fc.record({
      entries: fc.constant(entries),
      writesMs: fc.constant(writesMs),
      seed: fc.nat(),
      bytes: fc.integer({ min: 1000, max: 400_000 }),
      faults: fc.array(faultOf(entries, writesMs), {
        maxLength: Math.floor(entries / 3),
        size: 'max',
      }),
    }),
  );

/** Fleets to run. */
const RUNS = Number(process.env.ENDIVEGATE_MODEL_RUNS ?? 12);
const MAX_RUN_MS = 5000;

describe('configSync in a fleet', () => {
  // Guards against a configuration that is not active at all entries in time, because
  // its sources are slow, busy, frozen or gone.
  it('brings each change to all sound entries within 3 s', () => {
    fc.assert(
      fc.property(plans, (plan) => {
        expect(runFleet(plan).slice(0, 3)).to.deep.equal([]);
      }),
      { seed: 44, numRuns: RUNS },
    );
  }).timeout(RUNS * MAX_RUN_MS);
});
