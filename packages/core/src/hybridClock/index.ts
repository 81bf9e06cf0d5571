/**
 * Timestamp of a hybrid logical clock.
 *
 * It stays near the wall clock, never goes back, and a later event that knows
 * of an earlier one has the larger timestamp, whichever process it is in.
 */
export interface HybridTimestamp {
  readonly wallMs: number;
  /** Tells events of the same millisecond apart. */
  readonly counter: number;
}

/** Timestamp before all others. */
export const ZERO_TIMESTAMP: HybridTimestamp = { wallMs: 0, counter: 0 };

/** Lead of a peer's clock beyond which its timestamps are not followed. */
export const MAX_CLOCK_LEAD_MS = 60_000;
