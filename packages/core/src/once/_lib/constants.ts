/** Time from requesting a claim within which its creator may send the call. */
export const SEND_WINDOW_MS = 2_000;

/** Time after a call's deadline for which its answer is still awaited. */
export const SETTLE_GRACE_MS = 30_000;

/** Time for which writing a known outcome to the store is retried. */
export const RECORD_TIMEOUT_MS = 3_600_000;

/**
 * Age of an unknown outcome from which a service's reply "no such key" means
 * that the call did not run: by then a request sent before has either arrived
 * or been lost.
 */
export const UNKNOWN_SETTLE_MS = 10_000;

/**
 * As {@link UNKNOWN_SETTLE_MS}, for a claim whose creator died without writing
 * an outcome.
 */
export const DEAD_SETTLE_MS = 60_000;

/** Age of a claim from which a repeated call looks its key up at the service. */
export const LOOKUP_AFTER_MS = 2_000;

/** Upper bound of the first delay before a store call is retried. */
export const INITIAL_BACKOFF_MS = 200;

/** Upper bound of every delay before a store call is retried. */
export const MAX_BACKOFF_MS = 2_000;

/** Number of shards of the claims' key space. */
export const CLAIM_SHARDS = 256;

/** Time between the sweeps of two shards; all shards are swept in an hour. */
export const SWEEP_PERIOD_MS = 14_000;

/** Time for which the claim of a settled call is kept in the store. */
export const CLAIM_RETENTION_MS = 7 * 24 * 3_600_000;

/** Retry-after time told to a caller refused because the store is down. */
export const STORE_DOWN_RETRY_AFTER_MS = 2_000;
