import {
  lastingConditions,
  type Obstacle,
  targetAvailability,
} from '@endivegate/core/forwarding';
import type { ForwardContext } from '../../forwardRequest/types.ts';
import type { SendPlan } from '../../planSend/index.ts';

/**
 * Checks a planned send again after it waited for memory or for a connection.
 *
 * @param plan - The plan; its targets may have become unavailable meanwhile.
 * @param context - State and clock of the gateway.
 * @returns The obstacle; undefined if the request may be sent. A peer that serves a
 * relayed request checks by itself.
 */
export function sendObstacle(
  plan: SendPlan,
  { runtime, now }: Pick<ForwardContext, 'runtime' | 'now'>,
): Obstacle['obstacle'] | undefined {
  if (plan.isRelay) return undefined;
  const state = runtime.state();
  const conditions = lastingConditions(state);
  const nowMs = now();
  return [plan.target, ...plan.helpers]
    .flatMap(({ id, bornMs }) => {
      const listed = state.roster.targets.get(id);
      if (listed === undefined) return ['leaving' as const];
      const obstacle =
        listed.bornMs === bornMs
          ? targetAvailability(listed, nowMs, conditions)
          : undefined;
      return obstacle === undefined ? [] : [obstacle.obstacle];
    })
    .at(0);
}
