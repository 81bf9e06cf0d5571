import { decideAdmission } from '@endivegate/core/forwarding';
import type { SendPlan } from '../../../planSend/index.ts';
import type { ForwardCall, ForwardContext } from '../../types.ts';
import type { NotAdmitted } from '../requestLog.ts';
import type { TimeLeft } from '../timeLeft.ts';

/** A send that is planned, and what follows from its admission. */
export interface AdmitQuery {
  readonly call: ForwardCall;
  readonly plan: SendPlan;
  readonly left: TimeLeft;
  /** Whether no byte of the request has been sent before. */
  readonly isFirst: boolean;
  /** Whether the request has no other send open. */
  readonly isAlone: boolean;
  /** Whether an earlier send may have run, so that the request is not refused. */
  readonly mayHaveBegun: boolean;
  readonly deadlineAtMs: number;
  /** Plans the send again, with the load of that time. */
  readonly planNow: (left: TimeLeft) => SendPlan | undefined;
  readonly timeLeftNow: () => TimeLeft;
  /** Whether the request may still be sent while this entry shuts down. */
  readonly endsInTime: () => boolean;
  /** Sends as planned, at once or later; without a plan, decides anew. */
  readonly send: (plan?: SendPlan) => void;
  readonly refuse: (refusal: SendRefusal) => void;
  /** Ends a request that may have run. */
  readonly giveUp: (reason: string) => void;
}

/** A refusal of a send, with what it means for the caller. */
export interface SendRefusal extends NotAdmitted {
  readonly message: string;
}

/**
 * Sends a request, lets it wait, or refuses it. Where the queue is off, prompts wait
 * and are refused as `decideAdmission` says, before their first send.
 *
 * @param query - The planned send.
 * @param context - Queue and state of the gateway.
 * @returns A function that ends the wait, if there is one.
 */
export function admitSend(
  query: AdmitQuery,
  context: ForwardContext,
): (() => void) | undefined {
  const { plan, left, isFirst } = query;
  const { firstEventMs } = plan;
  if (firstEventMs === undefined) {
    query.send(plan);
    return undefined;
  }
  const refuse = (message: string, retryAfterMs: number): void => {
    if (query.mayHaveBegun) {
      query.giveUp(message);
      return;
    }
    const admission = { type: 'refuse', retryAfterMs } as const;
    query.refuse({ plan, left, admission, message });
  };
  const { admission } = context;
  if (admission !== undefined && query.isAlone) {
    return admission.offer(query, refuse);
  }
  const waitedMs = context.now() - query.call.arrivedAtMs;
  const decision = decideAdmission({
    ...plan,
    firstEventMs,
    waitedMs,
    ...left,
  });
  if (isFirst && decision.type === 'refuse') {
    refuse('no target can answer in time', decision.retryAfterMs);
    return undefined;
  }
  const mayWait = isFirst && context.shutdown?.grace() === undefined;
  if (!mayWait || decision.type !== 'wait') {
    query.send(plan);
    return undefined;
  }
  if (waitedMs < decision.waitMs) {
    context.log.info('request.waiting', {
      request: query.call.attemptId,
      target: plan.target.id,
      firstEventMs: Math.round(firstEventMs),
      latencyBudgetMs: Math.round(left.latencyBudgetMs),
      lateShare: Number(plan.lateShare.toFixed(2)),
      value: Number(plan.value.toFixed(1)),
      delayCost: Number(plan.delayCost.toFixed(1)),
    });
  }
  const timer = setTimeout(query.send, decision.waitMs);
  return () => {
    clearTimeout(timer);
  };
}
