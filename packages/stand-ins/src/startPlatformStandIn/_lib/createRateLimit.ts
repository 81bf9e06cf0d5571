/** A token bucket with a capacity of one second's calls. */
export interface RateLimit {
  /** Takes one token and returns 0, or returns the wait in ms for the next one. */
  readonly take: (nowMs: number) => number;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a limit on calls per second.
 *
 * @param callsPerSecond - Refill rate and capacity of the bucket.
 * @returns The limit, with a full bucket.
 */
export function createRateLimit(callsPerSecond: number): RateLimit {
  let tokens = callsPerSecond;
  let refilledAtMs = 0;

  return {
    take: (nowMs) => {
      const refilledTokens =
        ((nowMs - refilledAtMs) * callsPerSecond) / MS_PER_SECOND;
      tokens = Math.min(callsPerSecond, tokens + refilledTokens);
      refilledAtMs = nowMs;
      if (tokens < 1) return ((1 - tokens) * MS_PER_SECOND) / callsPerSecond;
      tokens -= 1;
      return 0;
    },
  };
}
