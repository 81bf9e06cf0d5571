import {
  deleteEntry,
  getEntry,
  setEntry,
  type BucketMap,
} from '../../bucketMap/index.ts';

/** Retries that may follow one another at once. */
export const RETRY_BURST = 100;

/** Retries that each first attempt pays for. */
export const RETRY_RATIO = 0.1;

/** Retries that time alone pays for, a second. */
export const RETRIES_PER_SECOND = 1;

/** What is left of a budget; one that is full has no entry. */
export interface RetryBudget {
  readonly retries: number;
  readonly atMs: number;
}

/** Budgets of workspaces and targets that are not full. */
export type RetryBudgets = BucketMap<RetryBudget>;

/**
 * Adds what a first attempt pays into the budgets it belongs to.
 *
 * @param budgets - All budgets.
 * @param keys - Budgets of the request's workspace and target.
 * @param nowMs - Time of the attempt.
 * @returns The budgets after it.
 */
export function payRetries(
  budgets: RetryBudgets,
  keys: readonly string[],
  nowMs: number,
): RetryBudgets {
  if (budgets.size === 0) return budgets;
  return keys.reduce((paid, key) => {
    if (getEntry(paid, key) === undefined) return paid;
    return put(paid, key, {
      retries: leftOf(paid, key, nowMs) + RETRY_RATIO,
      atMs: nowMs,
    });
  }, budgets);
}

/**
 * Takes one retry out of every budget it belongs to.
 *
 * @param budgets - All budgets.
 * @param keys - Budgets of the request's workspace and failed target.
 * @param nowMs - Time of the retry.
 * @returns The budgets after it, or undefined when one of them is used up.
 */
export function takeRetry(
  budgets: RetryBudgets,
  keys: readonly string[],
  nowMs: number,
): RetryBudgets | undefined {
  if (keys.some((key) => leftOf(budgets, key, nowMs) < 1)) return undefined;
  return keys.reduce(
    (taken, key) =>
      put(taken, key, {
        retries: leftOf(taken, key, nowMs) - 1,
        atMs: nowMs,
      }),
    budgets,
  );
}

/**
 * Names the budgets that a request's retries come out of.
 *
 * @param workspace - Its workspace.
 * @param targetId - Target of the attempt.
 * @returns The keys of the budgets.
 */
export function budgetKeys(
  workspace: string,
  targetId: string,
): readonly string[] {
  return [`workspace/${workspace}`, `target/${targetId}`];
}

function leftOf(budgets: RetryBudgets, key: string, nowMs: number): number {
  const budget = getEntry(budgets, key);
  if (budget === undefined) return RETRY_BURST;
  const refilled = ((nowMs - budget.atMs) * RETRIES_PER_SECOND) / 1_000;
  return Math.min(RETRY_BURST, budget.retries + refilled);
}

function put(
  budgets: RetryBudgets,
  key: string,
  budget: RetryBudget,
): RetryBudgets {
  return budget.retries >= RETRY_BURST
    ? deleteEntry(budgets, key)
    : setEntry(budgets, key, budget);
}
