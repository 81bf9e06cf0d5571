/** What is known of a prompt that is about to be sent for the first time. */
export interface AdmissionQuery {
  readonly isShort: boolean;
  /** Expected time to the first event, once there is a slot. */
  readonly firstEventMs: number;
  /** Expected wait for a slot of its engine; 0 with a free one. */
  readonly slotWaitMs: number;
  /** Time that is left until its first event is late. */
  readonly aimLeftMs: number;
  /** Time until its caller leaves. */
  readonly patienceMs: number;
}

/** Whether a prompt is sent, or refused at once with a time to come back. */
export type Admission =
  | { readonly type: 'send' }
  | { readonly type: 'refuse'; readonly retryAfterMs: number };

/** Options of {@link decideAdmission}. */
export interface DecideAdmissionOptions {
  /** Uniform in [0, 1); spreads those who come back. */
  readonly random?: () => number;
}

/** Refused callers come back after the wait for a slot and this much more, so
 * that the engines work off what they have; callers bear a third of the time
 * that they have left, which is 3.3 s of ten. */
const LEAST_RETURN_MS = 800;
const RETURN_SPREAD_MS = 1500;
const LONGEST_RETURN_MS = 3000;

/**
 * Refuses a short prompt that is predictably late because all places of the
 * engines are taken, or whose caller will have left by then: its wait would only
 * make those behind it late as well, and callers that leave come again.
 *
 * @param query - The plan's expectations.
 * @param options - Randomness.
 * @returns Whether to send it.
 *
 * @example
 * decideAdmission({ isShort: true, firstEventMs, slotWaitMs, aimLeftMs });
 */
export function decideAdmission(
  query: AdmissionQuery,
  options: DecideAdmissionOptions = {},
): Admission {
  const { random = Math.random } = options;
  const { isShort, firstEventMs, slotWaitMs, aimLeftMs } = query;
  const waitMs = firstEventMs + slotWaitMs;
  const isLateForSlots = slotWaitMs > 0 && waitMs > aimLeftMs;
  const isHopeless = isLateForSlots || waitMs > query.patienceMs;
  if (!isShort || !isHopeless) return { type: 'send' };
  const returnMs = slotWaitMs + LEAST_RETURN_MS + RETURN_SPREAD_MS * random();
  return {
    type: 'refuse',
    retryAfterMs: Math.min(returnMs, LONGEST_RETURN_MS),
  };
}
