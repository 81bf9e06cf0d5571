import { compareTimestamps } from '../compareTimestamps/index.ts';
import {
  MAX_CLOCK_LEAD_MS,
  type HybridTimestamp,
} from '../hybridClock/index.ts';
import { tickHybridClock } from '../tickHybridClock/index.ts';

/**
 * Advances a hybrid clock past the timestamp of a received message.
 *
 * A timestamp that is ahead of the wall clock by more than
 * {@link MAX_CLOCK_LEAD_MS} is ignored, so that one faulty clock does not advance
 * the clocks of the whole fleet.
 *
 * @param clock - Timestamp of the last event of this process.
 * @param remote - Timestamp of the message.
 * @param wallMs - Current wall clock time.
 * @returns A timestamp larger than `clock`, and larger than `remote` unless that
 *   is ignored.
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
