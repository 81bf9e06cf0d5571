/**
 * Wraps a handler of events so that no error leaves it.
 *
 * @param handle - The handler.
 * @param fallback - What the wrapped handler returns after an error.
 */
export type ErrorGuard = <Args extends readonly unknown[], Result>(
  handle: (...args: Args) => Result,
  fallback: Result,
) => (...args: Args) => Result;

/**
 * Creates a guard for the handlers of one operation, such as a request. An error that a
 * handler throws to a timer or a socket does not end the operation, which would stay open.
 *
 * @param onError - Ends the operation.
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
