import type { HomeCandidate } from '../pickHomes/index.ts';

/**
 * Orders homes for a caller: those in the caller's data centre first.
 *
 * @param homes - Homes as `pickHomes` returned them.
 * @param callerDataCentre - Data centre of the caller, where known.
 * @returns The same homes; order among equals is kept.
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
