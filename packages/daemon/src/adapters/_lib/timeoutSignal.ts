/**
 * Returns a signal that aborts after a time.
 *
 * The platform's timers take whole milliseconds only; a fraction is rounded up
 * so that a call never gets less than its time.
 *
 * @param timeoutMs - Time until the abort; a negative time aborts at once.
 * @returns The signal.
 */
export function timeoutSignal(timeoutMs: number): AbortSignal {
  return AbortSignal.timeout(Math.max(0, Math.ceil(timeoutMs)));
}
