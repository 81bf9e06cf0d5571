import type { ForwardContext } from '../../forwardRequest/types.ts';
import {
  type HelperEndpoint,
  endToEndHeaders,
} from '../../httpDialect/index.ts';
import type { SendPlan } from '../../planSend/index.ts';
import { writeRelay } from '../../relayDialect/index.ts';
import type { SendRun } from '../types.ts';
import { enginePriorityOf } from './enginePriorityOf.ts';

/** Smallest deadline sent to a target. */
const MIN_DEADLINE_MS = 1;

/**
 * Lists the helpers of a send. Helpers with reserved memory come first because
 * the target fills reservations in order.
 */
export function listHelpers(
  plan: SendPlan,
  reservations: SendPlan['reservations'],
  memoryReservationId: string,
): readonly HelperEndpoint[] {
  const reservedIds = new Set(
    reservations.map((reservation) => reservation.target.id),
  );
  return [
    ...reservations.map((reservation) => ({
      address: reservation.target.address,
      reservationId: memoryReservationId,
    })),
    ...plan.helpers
      .filter((helper) => !reservedIds.has(helper.id))
      .map((helper) => ({ address: helper.address, reservationId: undefined })),
  ];
}

/**
 * Builds the request headers of a send: the caller's end-to-end headers and
 * those that the gateway adds.
 */
export function sendHeaders(
  run: SendRun,
  helpers: readonly HelperEndpoint[],
  context: ForwardContext,
): readonly (readonly [string, string])[] {
  const { call } = run;
  const { dialect, now } = context;
  const hasBody = call.body.length > 0 || call.method === 'POST';
  const remainingMs = Math.floor(run.deadlineAtMs - now());
  const deadlineMs = Math.max(remainingMs, MIN_DEADLINE_MS);
  const lastEventId = run.resumeAfterId ?? call.caller.lastEventId;
  const bodyHeaders = hasBody
    ? [['Content-Length', String(call.body.length)] as const]
    : [];
  if (run.plan.isRelay) {
    const relayed = {
      rawHeaders: call.rawHeaders,
      // The peer counts from the arrival here, as it knows the age.
      deadlineMs: Math.floor(run.deadlineAtMs - call.arrivedAtMs),
      lastEventId,
      ageMs: now() - call.arrivedAtMs,
      attempts: run.attemptsLeft,
      configVersion: context.runtime.table()?.config.version ?? 0,
    };
    return [...writeRelay(relayed, dialect), ...bodyHeaders];
  }
  return [
    ...endToEndHeaders(call.rawHeaders, dialect.withheldHeaders),
    ...bodyHeaders,
    ...dialect.writeSend({
      targetId: run.plan.target.id,
      deadlineMs,
      workspace: call.workspace,
      lastEventId,
      enginePriority: enginePriorityOf(call),
      helpers,
    }),
  ];
}
