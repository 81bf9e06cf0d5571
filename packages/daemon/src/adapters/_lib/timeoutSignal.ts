/**
 * Creates a signal that aborts after a timeout.
 *
 * `AbortSignal.timeout` takes whole milliseconds only; fractions are rounded up
 * so that a call never gets less time than requested.
 *
 * @param timeoutMs - Timeout; a negative value aborts immediately.
 * @returns The signal.
 */
export function timeoutSignal(timeoutMs: number): AbortSignal {
  return AbortSignal.timeout(Math.max(0, Math.ceil(timeoutMs)));
}
