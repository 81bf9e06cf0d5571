/** Times of a planned stop, each from the signal that begins it. */
export interface ShutdownBudget {
  /** Until then a request may come from a caller that chose this entry by an address
   * list from before the signal. */
  readonly addressesMs: number;
  /** From then on, the entry ends as soon as no request is open. */
  readonly idleMs: number;
  /** Until then a request that waits in the queue is started. */
  readonly queueMs: number;
  /** Requests that are still open are ended. */
  readonly endMs: number;
  /** The process exits, with bytes that callers have not read. */
  readonly exitMs: number;
}

/** Options of {@link shutdownBudget}. */
export interface ShutdownBudgetOptions {
  /** Time from the signal until the process is killed. */
  readonly graceMs: number;
  /** Longest time for which callers use an address list; 3 s by default. */
  readonly addressLifetimeMs?: number;
}

const ADDRESS_LIFETIME_MS = 3000;

/** A busy process handles the signal this much later than it was sent. */
const LATE_SIGNAL_MS = 100;

/** Requests that were sent just before an address list ran out are read by then. */
const IN_FLIGHT_MS = 500;

/** Share of the grace period after which no request is started that has waited, so that
 * those that start before can end. */
const QUEUE_SHARE = 0.4;

/** Time for the end of open requests and for the exit: at most this, and at most this
 * share of the grace period. */
const MAX_RESERVE_MS = 500;
const RESERVE_SHARE = 0.1;

/** Share of the reserve for the exit of the process. */
const EXIT_SHARE = 0.4;

/**
 * Divides the grace period of a planned stop.
 *
 * @param options - The grace period, and for how long callers use an address list.
 * @returns The times, in ms from the signal.
 *
 * @example
 * shutdownBudget({ graceMs: 8000 }).endMs; // 7500
 */
export function shutdownBudget({
  graceMs,
  addressLifetimeMs = ADDRESS_LIFETIME_MS,
}: ShutdownBudgetOptions): ShutdownBudget {
  const reserveMs = Math.min(MAX_RESERVE_MS, RESERVE_SHARE * graceMs);
  return {
    addressesMs: addressLifetimeMs - LATE_SIGNAL_MS,
    idleMs: addressLifetimeMs + IN_FLIGHT_MS,
    queueMs: QUEUE_SHARE * graceMs,
    endMs: graceMs - reserveMs,
    exitMs: graceMs - EXIT_SHARE * reserveMs,
  };
}
