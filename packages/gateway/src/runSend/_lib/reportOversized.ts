import type { OversizedPart } from '@endivegate/core/forwarding';
import type { ForwardContext } from '../../forwardRequest/types.ts';
import type { SendRun } from '../types.ts';

/**
 * Logs and counts a response that exceeded a limit.
 *
 * @param part - The part that exceeded it; undefined if none did.
 * @param run - The request and its plan.
 * @param context - Log and metrics.
 */
export function reportOversized(
  part: OversizedPart | undefined,
  { call, plan }: SendRun,
  { log, metrics }: ForwardContext,
): void {
  if (part === undefined) return;
  metrics.oversized({ source: 'target', part });
  log.warn('response.tooLarge', {
    request: call.attemptId,
    target: plan.target.id,
    address: plan.target.address,
    part,
  });
}
