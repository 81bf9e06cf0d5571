import type { HybridTimestamp } from '../hybridClock/index.ts';

/**
 * Compares two timestamps of hybrid clocks.
 *
 * @param a - The first timestamp.
 * @param b - The second timestamp.
 * @returns A negative number, zero or a positive number, as expected by
 *   `Array.prototype.sort`.
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
