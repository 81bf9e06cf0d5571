import type { StorePurpose } from '@endivegate/contracts';

/** Token bucket that limits an entry's store calls for one purpose. */
export interface StoreBudget {
  readonly callsPerSecond: number;
  /** Calls that may be made at once when the bucket is full. */
  readonly burstCalls: number;
}

/** Default limits of an entry's store calls, by purpose. */
export const STORE_BUDGETS: Readonly<Record<StorePurpose, StoreBudget>> = {
  claims: { callsPerSecond: 60, burstCalls: 240 },
  table: { callsPerSecond: 20, burstCalls: 400 },
  leases: { callsPerSecond: 10, burstCalls: 60 },
  orders: { callsPerSecond: 5, burstCalls: 30 },
  suspects: { callsPerSecond: 5, burstCalls: 30 },
  limits: { callsPerSecond: 5, burstCalls: 30 },
  instances: { callsPerSecond: 2, burstCalls: 10 },
};

/** Consecutive failures from which the store is considered down. */
export const STORE_DOWN_FAILURES = 5;

/** Longest delay between two probes of a store that is down. */
export const STORE_PROBE_MAX_MS = 10_000;

/**
 * Admission state for an entry's store calls: a circuit breaker and a rate
 * limit for each purpose.
 */
export interface StoreGate {
  /** Consecutive failed calls. */
  readonly failures: number;
  /** While the store is down, the time of the next probe. */
  readonly probeAtMs: number;
  /** Whether a probe was admitted and no reply has been recorded since. */
  readonly isProbeInFlight: boolean;
  /** Calls left in the bucket of each purpose at the time of its last call. */
  readonly budgetLevels: ReadonlyMap<
    StorePurpose,
    { readonly availableCalls: number; readonly atMs: number }
  >;
}

/** Gate before the first call. */
export const INITIAL_STORE_GATE: StoreGate = {
  failures: 0,
  probeAtMs: 0,
  isProbeInFlight: false,
  budgetLevels: new Map(),
};
