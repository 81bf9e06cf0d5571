import type { LengthClass } from '@endivegate/contracts';
import type { RequestInfo } from '../request/index.ts';

/** Highest priority that engines accept. */
const MAX_PRIORITY = 9;

/** Table priority that leaves the priority of a request unchanged. */
const NEUTRAL_PRIORITY = 5;

/** Adjustment by the table's priority; smaller than the distance between the
 * length classes. */
const ADJUSTMENT = 1;

const BASE_PRIORITY: Readonly<Record<LengthClass, number>> = {
  short: 8,
  medium: 6,
  long: 4,
  huge: 2,
};

/**
 * Returns the priority of a request that is sent to an engine.
 *
 * Shorter prompts go first, because they delay longer ones only a little. The
 * table's priority ranks prompts of the same length class.
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
  const adjustment =
    Math.sign(request.priority - NEUTRAL_PRIORITY) * ADJUSTMENT;
  const priority = BASE_PRIORITY[request.lengthClass] + adjustment;
  return Math.min(Math.max(priority, 0), MAX_PRIORITY);
}
