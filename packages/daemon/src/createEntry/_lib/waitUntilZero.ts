const POLL_PERIOD_MS = 50;
const TIMEOUT_MS = 10_000;

/**
 * Polls a count until it is zero or the timeout has passed.
 *
 * @param count - Returns the current count.
 * @param waitedMs - Time waited so far.
 * @returns The last count; zero unless the timeout has passed.
 */
export async function waitUntilZero(
  count: () => number,
  waitedMs = 0,
): Promise<number> {
  const remaining = count();
  if (remaining === 0 || waitedMs >= TIMEOUT_MS) return remaining;
  await new Promise((resolve) => setTimeout(resolve, POLL_PERIOD_MS));
  return waitUntilZero(count, waitedMs + POLL_PERIOD_MS);
}
