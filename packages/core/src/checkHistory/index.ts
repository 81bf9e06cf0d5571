import { indexHistory } from './_lib/indexHistory.ts';
import { rules } from './_lib/rules.ts';
import {
  HISTORY_RULES,
  type CheckHistoryOptions,
  type HistoryEvent,
  type HistoryViolation,
} from './_lib/types.ts';

export {
  HISTORY_RULES,
  type CheckHistoryOptions,
  type HistoryEvent,
  type HistoryRule,
  type HistoryViolation,
} from './_lib/types.ts';

const defaults: Required<CheckHistoryOptions> = {
  toleranceMs: 100,
  memoryReturnMs: 10_000,
};

/**
 * Checks a history of what callers and targets observed against
 * {@link HISTORY_RULES}.
 *
 * @param history - Events of all callers and targets, in any order.
 * @param options - Tolerances of the rules.
 * @returns All violations; empty when the history satisfies every rule.
 *
 * @example
 * const violations = checkHistory(recorded);
 * violations.filter(({ rule }) => rule === 'once').length; // 0
 */
export function checkHistory(
  history: readonly HistoryEvent[],
  options: CheckHistoryOptions = {},
): readonly HistoryViolation[] {
  const indexed = indexHistory(history);
  const all = { ...defaults, ...options };
  return HISTORY_RULES.flatMap((rule) => rules[rule](indexed, all));
}
