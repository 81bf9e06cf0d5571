import type { HybridTimestamp } from '../hybridClock/index.ts';

/**
 * Compares two timestamps of hybrid clocks.
 *
 * @param a - One timestamp.
 * @param b - The other.
 * @returns Negative, zero or positive, as for `Array.prototype.sort`.
 *
 * @example
 * timestamps.toSorted(compareTimestamps);
 */
export function compareTimestamps(
  a: HybridTimestamp,
  b: HybridTimestamp,
): number {
  return a.wallMs - b.wallMs || a.counter - b.counter;
}
