/**
 * Returns the nearest-rank percentile of some values.
 *
 * @param values - The values, in any order.
 * @param percent - From 0 to 100.
 * @returns The smallest value that is at least as large as `percent` percent of
 *   the values, or `NaN` without values.
 */
export function percentile(values: readonly number[], percent: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  const index = Math.ceil((percent / 100) * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? NaN;
}
