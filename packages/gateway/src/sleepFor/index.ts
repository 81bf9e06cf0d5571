/**
 * Waits for a period of time.
 *
 * @param ms - Time to wait in milliseconds.
 * @returns A promise that resolves after that time.
 *
 * @example
 * await sleepFor(100);
 */
export function sleepFor(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
