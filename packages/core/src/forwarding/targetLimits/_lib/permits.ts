import type { LimitShare, TargetLimit } from '../types.ts';

const MS_PER_S = 1000;

/** Share of an entry that sends nothing to a limited target. */
export const NO_SHARE: LimitShare = { requestsPerS: 0, burst: 0 };

/** Adds the permits that have accrued. */
export function settlePermits<T extends TargetLimit>(
  limit: T,
  atMs: number,
): T {
  const { share, permits, permitsAtMs } = limit;
  const elapsedS = Math.max(atMs - permitsAtMs, 0) / MS_PER_S;
  return {
    ...limit,
    permits: Math.min(permits + elapsedS * share.requestsPerS, share.burst),
    permitsAtMs: Math.max(atMs, permitsAtMs),
  };
}

/** Whether a whole permit has accrued. */
export function hasPermitAt(limit: TargetLimit, atMs: number): boolean {
  return settlePermits(limit, atMs).permits >= 1;
}
