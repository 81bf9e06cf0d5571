const POLL_PERIOD_MS = 50;
const TIMEOUT_MS = 10_000;

/**
 * Waits until a count is zero, or until it has waited long enough.
 *
 * @param count - Reads the count.
 * @param waitedMs - Time waited so far.
 * @returns The count at the end; zero unless the time ran out.
 */
export async function waitForNone(
  count: () => number,
  waitedMs = 0,
): Promise<number> {
  const remaining = count();
  if (remaining === 0 || waitedMs >= TIMEOUT_MS) return remaining;
  await new Promise((resolve) => setTimeout(resolve, POLL_PERIOD_MS));
  return waitForNone(count, waitedMs + POLL_PERIOD_MS);
}
