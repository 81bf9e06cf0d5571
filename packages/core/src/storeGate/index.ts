import type { StorePurpose } from '@endivegate/contracts';

/** Rate that an entry allows itself for one purpose. */
export interface StoreBudget {
  readonly callsPerSecond: number;
  /** Calls that may be made at once after a quiet time. */
  readonly burstCalls: number;
}

/** Rates that an entry allows itself, by purpose. */
export const STORE_BUDGETS: Readonly<Record<StorePurpose, StoreBudget>> = {
  claims: { callsPerSecond: 60, burstCalls: 240 },
  table: { callsPerSecond: 20, burstCalls: 400 },
  leases: { callsPerSecond: 10, burstCalls: 60 },
  orders: { callsPerSecond: 5, burstCalls: 30 },
  suspects: { callsPerSecond: 5, burstCalls: 30 },
  limits: { callsPerSecond: 5, burstCalls: 30 },
  instances: { callsPerSecond: 2, burstCalls: 10 },
};

/** Failures in a row from which the store counts as down. */
export const STORE_DOWN_FAILURES = 5;

/** Longest pause between two probes of a store that is down. */
export const STORE_PROBE_MAX_MS = 10_000;

/** What an entry knows of the store's health and of its own use of it. */
export interface StoreGate {
  readonly failures: number;
  /** While down: the time of the next probe. */
  readonly probeAtMs: number;
  readonly isProbing: boolean;
  readonly levels: ReadonlyMap<
    StorePurpose,
    { readonly calls: number; readonly atMs: number }
  >;
}

/** A gate before the first call. */
export const INITIAL_STORE_GATE: StoreGate = {
  failures: 0,
  probeAtMs: 0,
  isProbing: false,
  levels: new Map(),
};
