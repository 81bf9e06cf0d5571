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
}

/** Whether a prompt is sent, or refused at once with a retry delay. */
export type Admission =
  | { readonly type: 'send' }
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

/**
 * Refuses a short prompt that is predicted to miss its latency target because
 * all slots of the engines are taken, or whose caller is predicted to give up
 * first. Queueing it would only delay the prompts behind it, and callers that
 * give up retry anyway.
 *
 * @param query - Predictions of the plan.
 * @param options - Random source.
 * @returns Whether to send the prompt, or the delay after which to retry.
 *
 * @example
 * decideAdmission(query).type; // 'send' or 'refuse'
 */
export function decideAdmission(
  query: AdmissionQuery,
  options: DecideAdmissionOptions = {},
): Admission {
  const { random = Math.random } = options;
  const { isShort, firstEventMs, slotWaitMs, latencyBudgetMs } = query;
  const waitMs = firstEventMs + slotWaitMs;
  const isLateWaitingForSlot = slotWaitMs > 0 && waitMs > latencyBudgetMs;
  const isTooLate = isLateWaitingForSlot || waitMs > query.patienceMs;
  if (!isShort || !isTooLate) return { type: 'send' };
  const retryDelayMs =
    slotWaitMs + MIN_RETRY_DELAY_MS + RETRY_JITTER_MS * random();
  return {
    type: 'refuse',
    retryAfterMs: Math.min(retryDelayMs, MAX_RETRY_DELAY_MS),
  };
}
