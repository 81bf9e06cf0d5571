import { LATE_VALUE_FACTOR } from '../engineLoad/index.ts';

/** Predictions for a prompt that is about to be sent for the first time. */
export interface AdmissionQuery {
  readonly isShort: boolean;
  /** Expected time to the first event once a slot is free. */
  readonly firstEventMs: number;
  /** Expected wait for a slot of its engine; 0 when one is free. */
  readonly slotWaitMs: number;
  /** Time left until the first event misses the latency target. */
  readonly latencyBudgetMs: number;
  /** Time until the caller gives up. */
  readonly patienceMs: number;
  /** Time since the prompt arrived. */
  readonly waitedMs: number;
  /** Value of serving it on time; see `valueOfPrompt`. */
  readonly value: number;
  /** Probability that its first event misses the latency target. */
  readonly lateShare: number;
  /** Expected loss of other prompts that it delays, in on-time requests. */
  readonly delayCost: number;
}

/** Whether a prompt is sent, waits, or is refused at once with a retry delay. */
export type Admission =
  | { readonly type: 'send' }
  /** Plan the prompt again after this time. */
  | { readonly type: 'wait'; readonly waitMs: number }
  | { readonly type: 'refuse'; readonly retryAfterMs: number };

/** Options of {@link decideAdmission}. */
export interface DecideAdmissionOptions {
  /** Returns a number uniform in [0, 1), to spread retries over time. */
  readonly random?: () => number;
}

/** A refused caller is told to retry after the expected slot wait plus this
 * delay and jitter, so that the engines can work off their backlog. The maximum
 * stays below the delay that callers accept, which is a third of their remaining
 * time: 3.3 s of 10 s. */
const MIN_RETRY_DELAY_MS = 800;
const RETRY_JITTER_MS = 1500;
const MAX_RETRY_DELAY_MS = 3000;

/** Time until a waiting prompt is planned again: a few decoding passes. */
const RECHECK_INTERVAL_MS = 150;

/** A waiting prompt is sent when this multiple of its predicted time is left. */
const LEAST_SLACK_FACTOR = 2;

/**
 * Decides whether a prompt is sent now (admission by deadline slack).
 *
 * A prompt is refused if its caller is predicted to give up first: its prefill would
 * only delay others. The same holds for a short prompt that is predicted to be late
 * because all slots are taken, as callers that give up retry anyway. A long prompt
 * waits while other prompts would lose more by its prefill than it gains by being sent
 * now; see {@link gainOfSending}.
 *
 * @param query - Predictions of the plan.
 * @param options - Random source.
 * @returns Whether to send the prompt, or the delay after which to plan it again or to
 * retry.
 *
 * @example
 * decideAdmission(query).type; // 'send', 'wait' or 'refuse'
 */
export function decideAdmission(
  query: AdmissionQuery,
  options: DecideAdmissionOptions = {},
): Admission {
  const { random = Math.random } = options;
  const { isShort, firstEventMs, slotWaitMs, latencyBudgetMs } = query;
  const waitMs = firstEventMs + slotWaitMs;
  const isLateWaitingForSlot = slotWaitMs > 0 && waitMs > latencyBudgetMs;
  if ((isShort && isLateWaitingForSlot) || waitMs > query.patienceMs) {
    const retryDelayMs =
      slotWaitMs + MIN_RETRY_DELAY_MS + RETRY_JITTER_MS * random();
    return {
      type: 'refuse',
      retryAfterMs: Math.min(retryDelayMs, MAX_RETRY_DELAY_MS),
    };
  }
  const mustWait = !isShort && query.delayCost > gainOfSending(query);
  return mustWait
    ? { type: 'wait', waitMs: RECHECK_INTERVAL_MS }
    : { type: 'send' };
}

/**
 * Estimates what a prompt gains by being sent now instead of later, in on-time requests:
 * most of its value while it can be on time. What is left of a late prompt's value is at
 * stake only as its time runs out.
 */
function gainOfSending(query: AdmissionQuery): number {
  const { firstEventMs, patienceMs, waitedMs, value, lateShare } = query;
  const slackMs = patienceMs - LEAST_SLACK_FACTOR * firstEventMs;
  if (slackMs <= 0) return Infinity;
  const usedShare = waitedMs / (waitedMs + slackMs);
  const onTimeGain = (1 - LATE_VALUE_FACTOR) * (1 - lateShare);
  return value * (onTimeGain + LATE_VALUE_FACTOR * usedShare);
}
