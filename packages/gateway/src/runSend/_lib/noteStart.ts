import { LATE_VALUE_FACTOR } from '@endivegate/core/forwarding';
import type { ForwardContext } from '../../forwardRequest/types.ts';
import type { SendRun } from '../types.ts';

/** Logs where a request is sent, and what decided it. */
export function logSend(run: SendRun, context: ForwardContext): void {
  const { call, plan } = run;
  context.log.info('request.sent', {
    request: call.attemptId,
    target: plan.target.id,
    service: call.service.name,
    helpers: plan.helpers.map((helper) => helper.id),
    seats: plan.seats.length,
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

/** Counts a send among the requests in flight. */
export function startFlight(
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
      partReadMs: plan.partReadMs,
      memoryTokens: plan.memoryTokens,
      contextTokens: plan.contextTokens,
      value:
        plan.value * (run.resumeAfterId === undefined ? 1 : LATE_VALUE_FACTOR),
      isShort: plan.isShort,
      seats: plan.seats.map((seat) => ({
        targetId: seat.target.id,
        tokens: seat.tokens,
      })),
      gapTargetMs: call.route.gapTargetMs,
      isDecoding: false,
    },
  });
}
