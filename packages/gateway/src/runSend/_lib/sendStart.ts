import { LATE_VALUE_FACTOR } from '@endivegate/core/forwarding';
import type { ForwardContext } from '../../forwardRequest/types.ts';
import type { SendRun } from '../types.ts';

/** Memory is reserved and released. */
const ORDERS_PER_RESERVATION = 2;

/** Logs the target of a send and the inputs of that decision. */
export function logSend(run: SendRun, context: ForwardContext): void {
  const { call, plan } = run;
  context.log.info('request.sent', {
    request: call.attemptId,
    target: plan.target.id,
    relayed: plan.isRelay ? true : undefined,
    service: call.service.name,
    helpers: plan.helpers.map((helper) => helper.id),
    seats: plan.reservations.length,
    promptTokens: call.caller.prompt?.promptTokens,
    predictedMs:
      plan.firstEventMs === undefined
        ? undefined
        : Math.round(plan.firstEventMs),
    resumedAfter: run.resumeAfterId,
    send: run.number,
    configVersion: context.runtime.table()?.config.version,
  });
}

/** Counts a send, and the orders that it needs, towards the limits that targets
 * name and the requests that cold targets take. */
export function countTowardsLimits(
  { plan }: SendRun,
  { runtime, now }: Pick<ForwardContext, 'runtime' | 'now'>,
): void {
  const { targetLimits, coldTargets } = runtime.state();
  if (targetLimits.size === 0 && coldTargets.cold.size === 0) return;
  const atMs = now();
  const count = (id: string, calls: number): void => {
    runtime.dispatch({ type: 'targetLimits.sent', atMs, id, calls });
    runtime.dispatch({ type: 'coldTargets.sent', atMs, id, calls });
  };
  count(plan.target.id, 1);
  plan.reservations.forEach(({ target }) => {
    count(target.id, ORDERS_PER_RESERVATION);
  });
}

/** Adds a send to the gateway's requests in flight. */
export function trackInFlight(
  run: SendRun,
  started: { readonly flightId: string; readonly startedAtMs: number },
  context: ForwardContext,
): void {
  const { call, plan } = run;
  context.runtime.dispatch({
    type: 'load.started',
    flight: {
      ...started,
      targetId: plan.target.id,
      helperIds: plan.helpers.map((helper) => helper.id),
      partPrefillMs: plan.partPrefillMs,
      memoryTokens: plan.memoryTokens,
      contextTokens: plan.contextTokens,
      value:
        plan.value * (run.resumeAfterId === undefined ? 1 : LATE_VALUE_FACTOR),
      isShort: plan.isShort,
      reservations: plan.reservations.map((reservation) => ({
        targetId: reservation.target.id,
        tokens: reservation.tokens,
      })),
      gapTargetMs: call.route.gapTargetMs,
      isDecoding: false,
    },
  });
}
