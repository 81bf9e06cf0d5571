import type { KnownBlock, PartBlock } from '../types.ts';

const MS_PER_MINUTE = 60_000;

/** Time until the first trial of blocked parts, and after each one that ended with
 * a death. */
const HOLDS_MS: readonly number[] = [10, 120, 1440].map(
  (minutes) => minutes * MS_PER_MINUTE,
);

/** A trial without a result is repeated after this time. */
const TRIAL_REPEAT_MS = 10 * MS_PER_MINUTE;

/** Time from the start of a block until its parts may be tried again. */
export function holdMsOf(block: PartBlock): number {
  return HOLDS_MS[Math.min(block.level, HOLDS_MS.length - 1)] ?? 0;
}

/** Time at which the parts of a block may be tried again. */
export function endMsOf(block: KnownBlock): number {
  return Math.max(
    block.sinceMs + holdMsOf(block),
    (block.triedAtMs ?? -Infinity) + TRIAL_REPEAT_MS,
  );
}
