import {
  deleteEntry,
  getEntry,
  setEntry,
  type BucketMap,
} from '../../bucketMap/index.ts';

/** Capacity of a budget: retries that may follow one another immediately. */
export const MAX_RETRY_BURST = 100;

/** Retries that each first attempt adds to its budgets. */
export const RETRIES_PER_FIRST_ATTEMPT = 0.1;

/** Retries per second that are added to each budget regardless of traffic. */
export const RETRIES_PER_SECOND = 1;

/** Retries left in a budget at a time. Full budgets are not stored. */
export interface RetryBudget {
  readonly retries: number;
  readonly atMs: number;
}

/** Budgets of workspaces and targets that are not full, by key. */
export type RetryBudgets = BucketMap<RetryBudget>;

/**
 * Adds the retries that a first attempt earns to its budgets.
 *
 * @param budgets - All budgets.
 * @param keys - Keys of the budgets of the request's workspace and target.
 * @param nowMs - Time of the attempt.
 * @returns The updated budgets.
 */
export function creditRetries(
  budgets: RetryBudgets,
  keys: readonly string[],
  nowMs: number,
): RetryBudgets {
  if (budgets.size === 0) return budgets;
  return keys.reduce((credited, key) => {
    if (getEntry(credited, key) === undefined) return credited;
    return storeBudget(credited, key, {
      retries:
        availableRetries(credited, key, nowMs) + RETRIES_PER_FIRST_ATTEMPT,
      atMs: nowMs,
    });
  }, budgets);
}

/**
 * Takes one retry from each of its budgets.
 *
 * @param budgets - All budgets.
 * @param keys - Keys of the budgets of the request's workspace and failed
 *   target.
 * @param nowMs - Time of the retry.
 * @returns The updated budgets, or undefined if one of them is used up.
 */
export function debitRetry(
  budgets: RetryBudgets,
  keys: readonly string[],
  nowMs: number,
): RetryBudgets | undefined {
  if (keys.some((key) => availableRetries(budgets, key, nowMs) < 1))
    return undefined;
  return keys.reduce(
    (debited, key) =>
      storeBudget(debited, key, {
        retries: availableRetries(debited, key, nowMs) - 1,
        atMs: nowMs,
      }),
    budgets,
  );
}

/**
 * Returns the keys of the budgets that a request's retries are taken from.
 *
 * @param workspace - The request's workspace.
 * @param targetId - Target of the attempt.
 * @returns The keys of the budgets.
 */
export function retryBudgetKeys(
  workspace: string,
  targetId: string,
): readonly string[] {
  return [`workspace/${workspace}`, `target/${targetId}`];
}

function availableRetries(
  budgets: RetryBudgets,
  key: string,
  nowMs: number,
): number {
  const budget = getEntry(budgets, key);
  if (budget === undefined) return MAX_RETRY_BURST;
  const refilled = ((nowMs - budget.atMs) * RETRIES_PER_SECOND) / 1_000;
  return Math.min(MAX_RETRY_BURST, budget.retries + refilled);
}

function storeBudget(
  budgets: RetryBudgets,
  key: string,
  budget: RetryBudget,
): RetryBudgets {
  return budget.retries >= MAX_RETRY_BURST
    ? deleteEntry(budgets, key)
    : setEntry(budgets, key, budget);
}
