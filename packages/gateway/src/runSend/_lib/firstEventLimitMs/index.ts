import type { SendPlan } from '../../../planSend/index.ts';

/** Inputs of {@link firstEventLimitMs}, as of the send. */
export interface FirstEventQuery {
  readonly plan: Pick<
    SendPlan,
    'firstEventMs' | 'slotWaitMs' | 'helpers' | 'isRelay'
  >;
  /** Latency objective of the route, assumed for sends without a prediction. */
  readonly targetLatencyMs: number;
  /** Time until the caller disconnects or the deadline, whichever is first. */
  readonly patienceMs: number;
}

/** A sound target may be this many times slower than predicted. */
const SLOW_TARGET_FACTOR = 4;

/** Covers the p95 of prediction errors of short prompts, which is up to 250 ms. */
const PREDICTION_MARGIN_MS = 500;

/** How long a prompt in several parts stalls when one of its engines is lost. */
const HELPER_LOSS_MS = 1500;

/** Time to connect to another target and to deliver its first event. */
const FAILOVER_MS = 400;

/** A target is given at least this multiple of the prediction, even if too little
 * time remains for another target. */
const MIN_FACTOR = 1.5;
const MIN_MARGIN_MS = 250;

/**
 * Returns how long a target may stay silent before its first event. Computed only
 * from what was known at the send, so that it does not grow with the silence.
 *
 * The limit allows for a target that is four times slower than predicted, unless
 * another target could then no longer answer before the caller disconnects. A peer
 * that serves a relayed request takes over from silent targets itself, so it gets
 * all time that another peer does not need.
 *
 * @param query - Prediction and time left.
 * @returns Time in ms from the send.
 */
export function firstEventLimitMs({
  plan,
  targetLatencyMs,
  patienceMs,
}: FirstEventQuery): number {
  const firstEventMs = plan.firstEventMs ?? targetLatencyMs;
  const expectedMs = firstEventMs + plan.slotWaitMs;
  const marginMs =
    PREDICTION_MARGIN_MS + (plan.helpers.length > 0 ? HELPER_LOSS_MS : 0);
  const slowMs = plan.isRelay
    ? Infinity
    : expectedMs * SLOW_TARGET_FACTOR + marginMs;
  const latestMs = patienceMs - FAILOVER_MS - firstEventMs;
  const leastMs = expectedMs * MIN_FACTOR + MIN_MARGIN_MS;
  return Math.max(Math.min(slowMs, latestMs), leastMs);
}
