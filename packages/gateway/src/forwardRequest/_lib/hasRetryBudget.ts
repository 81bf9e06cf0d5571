import { isRetryAllowed } from '@endivegate/core/forwarding';
import type { ForwardContext } from '../types.ts';

/** Whether the fleet's retry budget for a service allows one more send. */
export function hasRetryBudget(
  service: string,
  context: ForwardContext,
): boolean {
  const { budget, peers } = context.runtime.state();
  const atMs = context.now();
  return isRetryAllowed(
    budget,
    { service, atMs },
    {
      ...context.bounds.retry,
      // Peers include entries that are gone: they may have used the budget
      // within its window.
      entries: peers.size + 1,
      uptimeMs: atMs - context.startedAtMs,
    },
  );
}
