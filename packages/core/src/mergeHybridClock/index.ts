import { compareTimestamps } from '../compareTimestamps/index.ts';
import {
  MAX_CLOCK_LEAD_MS,
  type HybridTimestamp,
} from '../hybridClock/index.ts';
import { tickHybridClock } from '../tickHybridClock/index.ts';

/**
 * Advances a hybrid clock past a timestamp that a message carried.
 *
 * A peer whose clock leads by more than {@link MAX_CLOCK_LEAD_MS} is not
 * followed, so that one bad clock does not move the whole fleet's.
 *
 * @param clock - Timestamp of the last event of this process.
 * @param remote - Timestamp in the message.
 * @param wallMs - Wall clock.
 * @returns A timestamp larger than both.
 *
 * @example
 * mergeHybridClock({ wallMs: 5, counter: 0 }, { wallMs: 9, counter: 2 }, 6);
 * // { wallMs: 9, counter: 3 }
 */
export function mergeHybridClock(
  clock: HybridTimestamp,
  remote: HybridTimestamp,
  wallMs: number,
): HybridTimestamp {
  const follows =
    remote.wallMs <= wallMs + MAX_CLOCK_LEAD_MS &&
    compareTimestamps(remote, clock) > 0;
  return tickHybridClock(follows ? remote : clock, wallMs);
}
