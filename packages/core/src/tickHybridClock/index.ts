import type { HybridTimestamp } from '../hybridClock/index.ts';

/**
 * Advances a hybrid clock for a local event.
 *
 * @param clock - Timestamp of the last event.
 * @param wallMs - Current wall clock time, which may have been set back.
 * @returns A timestamp larger than `clock`.
 *
 * @example
 * tickHybridClock({ wallMs: 5, counter: 0 }, 5); // { wallMs: 5, counter: 1 }
 */
export function tickHybridClock(
  clock: HybridTimestamp,
  wallMs: number,
): HybridTimestamp {
  return wallMs > clock.wallMs
    ? { wallMs, counter: 0 }
    : { wallMs: clock.wallMs, counter: clock.counter + 1 };
}
