/**
 * Divides an amount among claimants by max-min fairness.
 *
 * No claimant gets more than its demand, and what it does not need is divided
 * among the others.
 *
 * @param amount - Amount to divide.
 * @param demands - Demand of each claimant by id.
 * @returns Share of each claimant by id; the sum is at most the amount.
 *
 * @example
 * divideLimit(10, new Map([['a', 2], ['b', 20]])); // a: 2, b: 8
 */
export function divideLimit(
  amount: number,
  demands: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const ascending = [...demands].toSorted(([, a], [, b]) => a - b);
  let remaining = Math.max(amount, 0);
  return new Map(
    ascending.map(([id, demand], n) => {
      const share = Math.min(
        Math.max(demand, 0),
        remaining / (ascending.length - n),
      );
      remaining -= share;
      return [id, share];
    }),
  );
}
