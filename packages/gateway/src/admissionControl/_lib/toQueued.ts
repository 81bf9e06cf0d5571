import {
  chargeOf,
  type QueuedRequest,
  type ReturningRequest,
} from '@endivegate/core/forwarding';
import type { AdmitQuery } from '../../forwardRequest/_lib/admitSend/index.ts';
import type { TimeLeft } from '../../forwardRequest/_lib/timeLeft.ts';
import type { SendPlan } from '../../planSend/index.ts';

/** Fraction of its time for which a request that is sent again waits. */
const RESEND_WAIT_SHARE = 0.5;

/** Describes a planned send to the queue. */
export function toQueued(
  query: AdmitQuery,
  { id, nowMs, lastStartMs }: QueuedAt,
): QueuedRequest {
  const { call, plan, left } = query;
  const firstEventMs = plan.firstEventMs ?? 0;
  const latestOnTimeStartMs = nowMs + left.latencyBudgetMs - firstEventMs;
  const patienceEndMs = nowMs + left.patienceMs - firstEventMs;
  // A short prompt waits only while it may still be on time.
  const expiresAtMs =
    plan.isShort && query.isFirst
      ? Math.min(latestOnTimeStartMs, patienceEndMs)
      : patienceEndMs;
  // Expected capacity includes targets that the request was sent to before, and is
  // too early for it. Half of its time is left to the caller.
  const waitShare = query.isFirst ? 1 : RESEND_WAIT_SHARE;
  const waitMs = Math.max(expiresAtMs - nowMs, 0) * waitShare;
  return {
    id,
    workspace: call.workspace ?? '',
    priority: call.priority,
    value: plan.value,
    isShort: plan.isShort,
    memoryTokens: plan.memoryTokens + reservedTokens(plan),
    prefillMs: plan.partPrefillMs * (plan.helpers.length + 1),
    bodyBytes: call.body.length,
    queuedAtMs: nowMs,
    latestOnTimeStartMs,
    expiresAtMs: Math.min(nowMs + waitMs, lastStartMs),
  };
}

function reservedTokens({ reservations }: SendPlan): number {
  return reservations.reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Id and times of a request in the queue. */
export interface QueuedAt {
  readonly id: string;
  readonly nowMs: number;
  /** Last start while this entry stops; Infinity otherwise. */
  readonly lastStartMs: number;
}

/**
 * Whether a planned send has capacity: memory, and for the first send of a short
 * prompt also a slot in time for its latency target.
 */
export function hasCapacity(
  plan: SendPlan,
  left: TimeLeft,
  isFirst: boolean,
): boolean {
  if (!plan.fits) return false;
  if (!isFirst || !plan.isShort) return true;
  const waitMs = (plan.firstEventMs ?? 0) + plan.slotWaitMs;
  const isOnTime = plan.slotWaitMs === 0 || waitMs <= left.latencyBudgetMs;
  return isOnTime && waitMs <= left.patienceMs;
}

/** Value for its charge of a prompt of 5,000 tokens, the highest there is. */
const SHORT_VALUE_PER_MS = 0.01;

/** Describes a refused request to the schedule of returns. */
export function toReturning(
  request: QueuedRequest,
  { call, deadlineAtMs }: Pick<AdmitQuery, 'call' | 'deadlineAtMs'>,
  nowMs: number,
): ReturningRequest {
  const timeLeftMs = Math.max(deadlineAtMs - nowMs, 0);
  const valuePerMs = request.value / Math.max(chargeOf(request), 1);
  const slackShare = timeLeftMs / Math.max(call.route.timeoutMs, 1);
  return {
    memoryTokens: request.memoryTokens,
    prefillMs: request.prefillMs,
    valueShare: Math.min(valuePerMs / SHORT_VALUE_PER_MS, 1),
    slackShare: Math.min(slackShare, 1),
    timeLeftMs,
  };
}

/** Sums the memory of requests or reservations. */
export function sumTokens(
  holders: readonly { readonly memoryTokens: number }[],
): number {
  return holders.reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
}
