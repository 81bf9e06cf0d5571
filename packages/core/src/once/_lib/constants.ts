/** Time from asking for a claim within which its creator may send. */
export const SEND_WINDOW_MS = 2_000;

/** Time after its deadline for which a call's answer is still awaited. */
export const SETTLE_GRACE_MS = 30_000;

/** Time that an outcome is tried to be written after it is known. */
export const RECORD_TIMEOUT_MS = 3_600_000;

/**
 * Age of a doubt from which a service's "no such key" settles it as not run:
 * what was sent before the doubt has arrived or will never arrive.
 */
export const UNKNOWN_SETTLE_MS = 10_000;

/** The same for a claim whose creator died without a word. */
export const DEAD_SETTLE_MS = 60_000;

/** Age of a claim from which a repeat asks the service about the key. */
export const LOOKUP_AFTER_MS = 2_000;

/** Bound of the first wait before a store call is tried again. */
export const POLL_MS = 200;

/** Bound of every wait before a store call is tried again. */
export const MAX_POLL_MS = 2_000;

/** Shards of the claims' key space. */
export const CLAIM_SHARDS = 256;

/** Time between the sweeps of two shards; all are swept in an hour. */
export const SWEEP_PERIOD_MS = 14_000;

/** Time for which the claim of a settled call is kept. */
export const CLAIM_RETENTION_MS = 7 * 24 * 3_600_000;

/** When a caller refused for want of the store should come back. */
export const STORE_DOWN_RETRY_AFTER_MS = 2_000;
