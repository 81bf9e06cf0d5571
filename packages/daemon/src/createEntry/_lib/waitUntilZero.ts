const POLL_PERIOD_MS = 50;
const TIMEOUT_MS = 10_000;

/**
 * Polls a count until it is zero or the timeout has passed.
 *
 * @param count - Returns the current count.
 * @param timeoutMs - Longest wait; 10 s by default.
 * @returns The last count; zero unless the timeout has passed.
 */
export async function waitUntilZero(
  count: () => number,
  timeoutMs = TIMEOUT_MS,
): Promise<number> {
  const remaining = count();
  if (remaining === 0 || timeoutMs <= 0) return remaining;
  await new Promise((resolve) => setTimeout(resolve, POLL_PERIOD_MS));
  return waitUntilZero(count, timeoutMs - POLL_PERIOD_MS);
}
