import type { LengthClass } from '@endivegate/contracts';
import type { RequestInfo } from '../request/index.ts';

/** Priorities that engines understand. */
const MAX_PRIORITY = 9;

/** Priority cell of a row that asks for nothing special. */
const NEUTRAL_PRIORITY = 5;

/** How far the table's priority moves a request within its class. */
const MAX_SHIFT = 1;

const BASE_PRIORITY: Readonly<Record<LengthClass, number>> = {
  short: 8,
  medium: 6,
  long: 4,
  huge: 2,
};

/**
 * Returns the priority that an engine is given for a request.
 *
 * Shorter prompts go first, because they delay longer ones little. The table's
 * priority decides among prompts of like length.
 *
 * @param request - The request.
 * @returns A priority from 0 to 9; higher is more urgent.
 *
 * @example
 * enginePriorityOf({ lengthClass: 'short', priority: 5 }); // 8
 */
export function enginePriorityOf(
  request: Pick<RequestInfo, 'lengthClass' | 'priority'>,
): number {
  const wanted = Math.sign(request.priority - NEUTRAL_PRIORITY) * MAX_SHIFT;
  const priority = BASE_PRIORITY[request.lengthClass] + wanted;
  return Math.min(Math.max(priority, 0), MAX_PRIORITY);
}
