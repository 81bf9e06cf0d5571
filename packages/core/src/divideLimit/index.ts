/**
 * Divides an amount among claimants by max-min fairness.
 *
 * Nobody gets more than wanted, and what one does not want goes to the others.
 *
 * @param amount - What there is.
 * @param wants - What each claimant wants.
 * @returns What each gets; together at most the amount.
 *
 * @example
 * divideLimit(10, new Map([['a', 2], ['b', 20]])); // a: 2, b: 8
 */
export function divideLimit(
  amount: number,
  wants: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const ascending = [...wants].toSorted(([, a], [, b]) => a - b);
  let left = Math.max(amount, 0);
  return new Map(
    ascending.map(([id, want], n) => {
      const given = Math.min(Math.max(want, 0), left / (ascending.length - n));
      left -= given;
      return [id, given];
    }),
  );
}
