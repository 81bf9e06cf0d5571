/**
 * Timestamp of a hybrid logical clock.
 *
 * It stays close to the wall clock and never decreases. If one event causally
 * precedes another, in the same or in another process, its timestamp is smaller.
 */
export interface HybridTimestamp {
  readonly wallMs: number;
  /** Orders events within the same millisecond. */
  readonly counter: number;
}

/** The smallest timestamp. */
export const ZERO_TIMESTAMP: HybridTimestamp = { wallMs: 0, counter: 0 };

/** Maximum lead of a peer's wall clock; timestamps beyond it are ignored. */
export const MAX_CLOCK_LEAD_MS = 60_000;
