import type { Step } from '../../step/index.ts';

/** Requests and retries within one second. */
interface Bucket {
  readonly second: number;
  readonly requests: number;
  readonly retries: number;
}

/** Counts by service, in buckets of one second. */
export type BudgetState = ReadonlyMap<string, readonly Bucket[]>;

/** Bounds on retries, shared by all entries. */
export interface RetryBudgetOptions {
  /** Retries allowed per request in the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Additional retries per window, shared by all entries. */
  readonly slack: number;
  /** Entries that share `slack`. */
  readonly entries: number;
  /** Time since this process started to count. Retries that the previous
   * process sent within the window are unknown. */
  readonly uptimeMs: number;
}

/** A request from a caller, or a send that retries one. */
export interface BudgetEvent {
  readonly type: 'budget.requested' | 'budget.retried';
  readonly atMs: number;
  readonly service: string;
}

const MS_PER_S = 1000;

/** Time for which buckets are kept; deployments use a window of 10 s. */
const BUCKET_RETENTION_S = 60;

/** Fraction of the shared slack that is used. The margin covers entries that
 * disagree on how many entries share it. */
const SLACK_UTILISATION = 0.6;

/** Counts before the first request. */
export const initialBudget: BudgetState = new Map();

/**
 * Counts requests and retries by service.
 *
 * @param state - Current counts.
 * @param event - The request or retry to count.
 * @returns The new counts, without effects.
 *
 * @example
 * reduceBudget(initialBudget, { type: 'budget.requested', atMs: 0, service });
 */
export function reduceBudget(
  state: BudgetState,
  event: BudgetEvent,
): Step<BudgetState, never> {
  const second = Math.floor(event.atMs / MS_PER_S);
  const buckets = (state.get(event.service) ?? []).filter(
    (bucket) => second - bucket.second < BUCKET_RETENTION_S,
  );
  const last = buckets.at(-1);
  const current =
    last?.second === second ? last : { second, requests: 0, retries: 0 };
  const earlier = last?.second === second ? buckets.slice(0, -1) : buckets;
  const next =
    event.type === 'budget.requested'
      ? { ...current, requests: current.requests + 1 }
      : { ...current, retries: current.retries + 1 };
  return {
    state: new Map(state).set(event.service, [...earlier, next]),
    effects: [],
  };
}

/**
 * Checks whether one more retry fits into this entry's share of the budget.
 *
 * @param state - Current counts.
 * @param query - Service and current monotonic time.
 * @param options - Retry budget of the deployment.
 * @returns Whether a request may be retried.
 *
 * @example
 * isRetryAllowed(state, { service, atMs }, options);
 */
export function isRetryAllowed(
  state: BudgetState,
  query: { readonly service: string; readonly atMs: number },
  options: RetryBudgetOptions,
): boolean {
  const windowStartSecond = Math.floor(
    (query.atMs - options.windowMs) / MS_PER_S,
  );
  const buckets = (state.get(query.service) ?? []).filter(
    (bucket) => bucket.second >= windowStartSecond,
  );
  const requests = sumBy(buckets, (bucket) => bucket.requests);
  const retries = sumBy(buckets, (bucket) => bucket.retries);
  const knownShare = Math.min(options.uptimeMs / options.windowMs, 1);
  const slack =
    (knownShare * SLACK_UTILISATION * options.slack) /
    Math.max(options.entries, 1);
  return retries + 1 <= options.ratio * requests + slack;
}

function sumBy(
  buckets: readonly Bucket[],
  valueOf: (bucket: Bucket) => number,
): number {
  return buckets.reduce((sum, bucket) => sum + valueOf(bucket), 0);
}
