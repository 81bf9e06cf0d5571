import type { LimitAmounts } from '@endivegate/contracts';

/** Fraction of a limit that is divided equally into the floors of its homes. */
export const FLOOR_SHARE = 0.1;

/** Zero amounts. */
export const NO_AMOUNTS: LimitAmounts = {
  concurrency: 0,
  requestsPerSecond: 0,
  tokensPerSecond: 0,
};

/** Combines two amounts field by field. */
export function combineAmounts(
  a: LimitAmounts,
  b: LimitAmounts,
  combine: (a: number, b: number) => number,
): LimitAmounts {
  return {
    concurrency: combine(a.concurrency, b.concurrency),
    requestsPerSecond: combine(a.requestsPerSecond, b.requestsPerSecond),
    tokensPerSecond: combine(a.tokensPerSecond, b.tokensPerSecond),
  };
}

/** Adds two amounts. */
export function addAmounts(a: LimitAmounts, b: LimitAmounts): LimitAmounts {
  return combineAmounts(a, b, (x, y) => x + y);
}

/**
 * Returns the floor of a limit: the amounts that each home may use without a grant
 * from the coordinator.
 *
 * A single home may use the whole limit. Concurrency is rounded down to an
 * integer, so small limits have no concurrency floor.
 */
export function floorOf(limit: LimitAmounts, homeCount: number): LimitAmounts {
  if (homeCount <= 1) return limit;
  const shareOfHome = FLOOR_SHARE / homeCount;
  return {
    concurrency: Math.floor(limit.concurrency * shareOfHome),
    requestsPerSecond: limit.requestsPerSecond * shareOfHome,
    tokensPerSecond: limit.tokensPerSecond * shareOfHome,
  };
}

/** Returns the amounts that the coordinator may grant: the limit without the
 * floors. */
export function grantableOf(
  limit: LimitAmounts,
  homeCount: number,
): LimitAmounts {
  if (homeCount <= 1) return NO_AMOUNTS;
  const floor = floorOf(limit, homeCount);
  return combineAmounts(limit, floor, (all, one) => all - one * homeCount);
}
