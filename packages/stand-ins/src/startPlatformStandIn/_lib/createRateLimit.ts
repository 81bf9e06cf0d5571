/** A token bucket that holds one second's calls. */
export interface RateLimit {
  /** Takes one call; returns the wait in milliseconds when none is left. */
  readonly take: (nowMs: number) => number;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates a limit on calls a second.
 *
 * @param callsPerSecond - Rate of the bucket, and its size.
 * @returns The limit, full.
 */
export function createRateLimit(callsPerSecond: number): RateLimit {
  let tokens = callsPerSecond;
  let filledAtMs = 0;

  return {
    take: (nowMs) => {
      const gained = ((nowMs - filledAtMs) * callsPerSecond) / MS_PER_SECOND;
      tokens = Math.min(callsPerSecond, tokens + gained);
      filledAtMs = nowMs;
      if (tokens < 1) return ((1 - tokens) * MS_PER_SECOND) / callsPerSecond;
      tokens -= 1;
      return 0;
    },
  };
}
