import fc from 'fast-check';
import type { LoadChange, ShutdownSchedule } from './index.ts';

const stays = (count: number): undefined[] =>
  Array.from({ length: count }, () => undefined);

/** One entry stops. */
const aloneArbitrary = fc
  .integer({ min: 1, max: 3 })
  .map((others) => [0, ...stays(others)]);

/** Entries stop at once or in series, perhaps all of them. */
const severalArbitrary = fc
  .record({
    stopping: fc.integer({ min: 2, max: 3 }),
    others: fc.integer({ min: 0, max: 2 }),
    gapMs: fc.constantFrom(0, 700, 2000, 4000),
  })
  .map(({ stopping, others, gapMs }) => [
    ...Array.from({ length: stopping }, (_, index) => index * gapMs),
    ...stays(others),
  ]);

function withoutChanges(graceMs: number) {
  return {
    seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
    graceMs: fc.constant(graceMs),
    signalsMs: aloneArbitrary,
    callers: fc.integer({ min: 4, max: 16 }),
    warmUpMs: fc.integer({ min: 500, max: 8000 }),
    timeoutMs: fc.constantFrom(2000, 10_000, 30_000),
    signalLagMs: fc.integer({ min: 0, max: 100 }),
    deliveryMs: fc.integer({ min: 0, max: 100 }),
    changes: fc.constant<readonly LoadChange[]>([]),
  };
}

function changesArbitrary(
  graceMs: number,
): fc.Arbitrary<readonly LoadChange[]> {
  const span = {
    fromMs: fc.integer({ min: -3000, max: graceMs }),
    forMs: fc.integer({ min: 300, max: 2 * graceMs }),
  };
  const pace = fc.record({
    ...span,
    type: fc.constant('pace' as const),
    factor: fc.constantFrom(0.5, 1.2, 1.6, 2.5, 4, 10),
    part: fc.constantFrom(0.3, 0.6, 1),
  });
  const release = fc.record({
    ...span,
    type: fc.constant('release' as const),
    part: fc.constantFrom(0.3, 0.6),
  });
  const burst = fc.record({
    ...span,
    type: fc.constant('burst' as const),
    callers: fc.integer({ min: 5, max: 40 }),
  });
  const longPrompts = fc.record({
    ...span,
    type: fc.constant('longPrompts' as const),
    callers: fc.integer({ min: 1, max: 8 }),
  });
  return fc
    .tuple(
      pace,
      fc.array(fc.oneof(pace, release, burst, longPrompts), { maxLength: 3 }),
    )
    .map(([first, others]) => [first, ...others]);
}

/**
 * One entry of several stops; targets and callers do not change.
 *
 * @param graceMs - The grace period.
 */
export function calmSchedules(graceMs: number): fc.Arbitrary<ShutdownSchedule> {
  return fc.record(withoutChanges(graceMs));
}

/**
 * Entries stop, and the pace of targets, the targets and the callers change around it.
 *
 * @param graceMs - The grace period.
 */
export function changingSchedules(
  graceMs: number,
): fc.Arbitrary<ShutdownSchedule> {
  return fc.record({
    ...withoutChanges(graceMs),
    signalsMs: fc.oneof(aloneArbitrary, severalArbitrary),
    changes: changesArbitrary(graceMs),
  });
}
