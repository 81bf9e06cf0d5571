import type { HomeCandidate } from '../pickHomes/index.ts';

/**
 * Sorts homes for a caller: homes in the caller's data centre come first.
 *
 * @param homes - Homes as returned by `pickHomes`.
 * @param callerDataCentre - Data centre of the caller, if known.
 * @returns The sorted homes; the sort is stable.
 *
 * @example
 * orderHomes(homes, 'kigali-2');
 */
export function orderHomes<Candidate extends HomeCandidate>(
  homes: readonly Candidate[],
  callerDataCentre: string | undefined,
): readonly Candidate[] {
  const isNear = (home: Candidate) => home.dataCentre === callerDataCentre;
  return [...homes.filter(isNear), ...homes.filter((home) => !isNear(home))];
}
