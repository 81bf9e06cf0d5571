import type { Step } from '../../step/index.ts';

/** Requests and repeats of one second. */
interface Bucket {
  readonly second: number;
  readonly requests: number;
  readonly repeats: number;
}

/** Counts by service, a bucket for each second of the window. */
export type BudgetState = ReadonlyMap<string, readonly Bucket[]>;

/** Bounds on repeats over all entries. */
export interface RetryBudgetOptions {
  /** Repeats allowed for each request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats allowed besides, over all entries. */
  readonly slack: number;
  /** Entries that share `slack`. */
  readonly entries: number;
  /** Time since this process began to count; what its predecessor sent within
   * the window is not known. */
  readonly countedMs: number;
}

/** A request of a caller, or a send beyond the first of one. */
export interface BudgetEvent {
  readonly type: 'budget.requested' | 'budget.repeated';
  readonly atMs: number;
  readonly service: string;
}

const MS_PER_S = 1000;

/** Buckets kept; the window of the deployments is 10 s. */
const KEPT_S = 60;

/** Part of the shared allowance used, since entries' counts of peers differ. */
const SLACK_USE = 0.6;

/** Counts before the first request. */
export const initialBudget: BudgetState = new Map();

/**
 * Counts requests and repeated sends by service.
 *
 * @param state - The counts.
 * @param event - What was sent.
 * @returns The next counts; there are no effects.
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
    (bucket) => second - bucket.second < KEPT_S,
  );
  const last = buckets.at(-1);
  const current =
    last?.second === second ? last : { second, requests: 0, repeats: 0 };
  const before = last?.second === second ? buckets.slice(0, -1) : buckets;
  const next =
    event.type === 'budget.requested'
      ? { ...current, requests: current.requests + 1 }
      : { ...current, repeats: current.repeats + 1 };
  return {
    state: new Map(state).set(event.service, [...before, next]),
    effects: [],
  };
}

/**
 * Tells whether one more repeat is within this entry's share of the budget.
 *
 * @param state - The counts.
 * @param query - Service and monotonic time.
 * @param options - The budget of the deployment.
 * @returns Whether a request may be sent once more.
 *
 * @example
 * mayRepeat(state, { service, atMs }, options);
 */
export function mayRepeat(
  state: BudgetState,
  query: { readonly service: string; readonly atMs: number },
  options: RetryBudgetOptions,
): boolean {
  const sinceSecond = Math.floor((query.atMs - options.windowMs) / MS_PER_S);
  const buckets = (state.get(query.service) ?? []).filter(
    (bucket) => bucket.second >= sinceSecond,
  );
  const requests = sumOf(buckets, (bucket) => bucket.requests);
  const repeats = sumOf(buckets, (bucket) => bucket.repeats);
  const known = Math.min(options.countedMs / options.windowMs, 1);
  const slack =
    (known * SLACK_USE * options.slack) / Math.max(options.entries, 1);
  return repeats + 1 <= options.ratio * requests + slack;
}

function sumOf(
  buckets: readonly Bucket[],
  valueOf: (bucket: Bucket) => number,
): number {
  return buckets.reduce((sum, bucket) => sum + valueOf(bucket), 0);
}
