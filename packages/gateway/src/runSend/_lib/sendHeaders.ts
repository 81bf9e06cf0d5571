import type { ForwardContext } from '../../forwardRequest/types.ts';
import {
  type HelperEndpoint,
  endToEndHeaders,
} from '../../httpDialect/index.ts';
import type { SendPlan } from '../../planSend/index.ts';
import type { SendRun } from '../types.ts';
import { urgencyOf } from './urgencyOf.ts';

/** Deadlines that are told to targets are at least this. */
const LEAST_DEADLINE_MS = 1;

/** Helpers that hold memory come first, since seats are filled in turn. */
export function helperSeats(
  plan: SendPlan,
  seats: SendPlan['seats'],
  reservationId: string,
): readonly HelperEndpoint[] {
  const holderIds = new Set(seats.map((seat) => seat.target.id));
  return [
    ...seats.map((seat) => ({
      address: seat.target.address,
      reservationId: reservationId,
    })),
    ...plan.helpers
      .filter((helper) => !holderIds.has(helper.id))
      .map((helper) => ({ address: helper.address, reservationId: undefined })),
  ];
}

/** Headers of one send: the caller's, less those of its connection, and ours. */
export function sendHeaders(
  run: SendRun,
  helpers: readonly HelperEndpoint[],
  context: ForwardContext,
): readonly (readonly [string, string])[] {
  const { call } = run;
  const hasBody = call.body.length > 0 || call.method === 'POST';
  const leftMs = Math.floor(run.deadlineAtMs - context.now());
  return [
    ...endToEndHeaders(call.rawHeaders, context.dialect.withheldHeaders),
    ...(hasBody ? [['Content-Length', String(call.body.length)] as const] : []),
    ...context.dialect.writeSend({
      targetId: run.plan.target.id,
      deadlineMs: Math.max(leftMs, LEAST_DEADLINE_MS),
      workspace: call.workspace,
      lastEventId: run.resumeAfterId?.toString() ?? call.caller.lastEventId,
      enginePriority: urgencyOf(call),
      helpers,
    }),
  ];
}
