import type { LimitAmounts } from '@endivegate/contracts';

/** Part of a limit that is divided into floors. */
export const FLOOR_PART = 0.1;

/** Nothing of any kind. */
export const NO_AMOUNTS: LimitAmounts = {
  concurrency: 0,
  requestsPerSecond: 0,
  tokensPerSecond: 0,
};

/** Combines amounts kind by kind. */
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

/** Sum of two amounts. */
export function addAmounts(a: LimitAmounts, b: LimitAmounts): LimitAmounts {
  return combineAmounts(a, b, (x, y) => x + y);
}

/**
 * Returns what each home may use without asking anyone.
 *
 * A single home has the whole limit. Concurrency is whole, so small limits
 * have no floor.
 */
export function floorOf(limit: LimitAmounts, homeCount: number): LimitAmounts {
  if (homeCount <= 1) return limit;
  const part = FLOOR_PART / homeCount;
  return {
    concurrency: Math.floor(limit.concurrency * part),
    requestsPerSecond: limit.requestsPerSecond * part,
    tokensPerSecond: limit.tokensPerSecond * part,
  };
}

/** Returns what the coordinator has to grant. */
export function grantableOf(
  limit: LimitAmounts,
  homeCount: number,
): LimitAmounts {
  if (homeCount <= 1) return NO_AMOUNTS;
  const floor = floorOf(limit, homeCount);
  return combineAmounts(limit, floor, (all, one) => all - one * homeCount);
}
