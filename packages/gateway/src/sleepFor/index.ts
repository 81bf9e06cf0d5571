/**
 * Waits.
 *
 * @param ms - Time to wait.
 * @returns A promise that resolves after it.
 *
 * @example
 * await sleepFor(100);
 */
export function sleepFor(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
