/** Options of {@link retryDelay}. */
export interface RetryDelayOptions {
  /** Bound of the first delay. */
  readonly baseMs?: number;
  /** Bound of every delay. */
  readonly maxMs?: number;
}

const DEFAULTS: Required<RetryDelayOptions> = { baseMs: 200, maxMs: 30_000 };

/**
 * Returns the time to wait before the next try, by exponential back-off with
 * full jitter.
 *
 * Full jitter spreads the first calls of many entries after an outage over
 * the whole bound, so that their return is no burst.
 *
 * @param failures - Failed tries in a row, from 1.
 * @param random - Uniform in [0, 1).
 * @param options - Bounds of the delay.
 * @returns The delay in milliseconds.
 *
 * @example
 * retryDelay(3, event.random); // somewhere below 800
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
