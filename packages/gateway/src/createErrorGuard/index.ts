/**
 * Wraps a handler of events so that no error leaves it.
 *
 * @param handle - The handler.
 * @param fallback - Returned after an error.
 */
export type ErrorGuard = <Args extends readonly unknown[], Result>(
  handle: (...args: Args) => Result,
  fallback: Result,
) => (...args: Args) => Result;

/**
 * Creates a guard for the handlers of one matter, such as a request. An error that is
 * thrown into a timer or a socket ends nothing there, and leaves open what the handler
 * would have ended.
 *
 * @param onError - Ends the matter.
 * @returns The guard.
 *
 * @example
 * const guard = createErrorGuard(() => response.destroy());
 * socket.on('data', guard((chunk) => parser.push(chunk), undefined));
 */
export function createErrorGuard(
  onError: (error: unknown) => void,
): ErrorGuard {
  return (handle, fallback) =>
    (...args) => {
      try {
        return handle(...args);
      } catch (error) {
        onError(error);
        return fallback;
      }
    };
}
