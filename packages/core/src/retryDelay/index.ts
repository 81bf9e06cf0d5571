/** Options of {@link retryDelay}. */
export interface RetryDelayOptions {
  /** Upper bound of the first delay; default 200. */
  readonly baseMs?: number;
  /** Upper bound of every delay; default 30,000. */
  readonly maxMs?: number;
}

const DEFAULTS: Required<RetryDelayOptions> = { baseMs: 200, maxMs: 30_000 };

/**
 * Returns the delay before the next retry, by exponential back-off with full
 * jitter.
 *
 * Full jitter spreads the first calls of many entries after an outage over the
 * whole time up to the upper bound, so that they do not arrive in a burst.
 *
 * @param failures - Consecutive failed attempts; 0 counts as 1.
 * @param random - Uniform in [0, 1).
 * @param options - Bounds of the delay.
 * @returns The delay in milliseconds.
 *
 * @example
 * retryDelay(3, event.random); // 800 at most
 */
export function retryDelay(
  failures: number,
  random: number,
  options: RetryDelayOptions = {},
): number {
  const { baseMs, maxMs } = { ...DEFAULTS, ...options };
  const boundMs = Math.min(maxMs, baseMs * 2 ** Math.max(0, failures - 1));
  return Math.round(boundMs * random);
}
