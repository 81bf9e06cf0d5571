import type { TargetError } from '@endivegate/contracts';

/** System calls made before a connection is established and any byte is sent. */
const CONNECT_SYSCALLS: ReadonlySet<string> = new Set([
  'connect',
  'getaddrinfo',
]);

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/** Error codes of response timeouts. */
const TIMEOUT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

/**
 * Checks whether a call failed before any of its bytes were sent.
 *
 * Only errors while connecting count. A connection that breaks later may have
 * carried the whole request, even if the error code also occurs while
 * connecting: a lost route, for example, also fails reads and writes.
 *
 * @param error - Error thrown by the HTTP client.
 * @returns Whether it is certain that nothing was sent.
 */
export function isNotSent(error: unknown): boolean {
  if (codeOf(error) === CONNECT_TIMEOUT_CODE) return true;
  const syscall = stringField(error, 'syscall');
  if (syscall !== undefined) return CONNECT_SYSCALLS.has(syscall);
  return areAllNotSent(error);
}

/**
 * Checks whether a call timed out.
 *
 * @param error - Error thrown by the HTTP client.
 * @returns Whether the error is a timeout.
 */
export function isTimeout(error: unknown): boolean {
  if (error instanceof Error && error.name === 'TimeoutError') return true;
  const code = codeOf(error);
  return code !== undefined && TIMEOUT_CODES.has(code);
}

/**
 * Converts an error of the HTTP client into the error of a call to a target.
 *
 * @param error - Error thrown by the HTTP client.
 * @returns The error; `notSent` only when it is certain that nothing was sent.
 */
export function toTargetError(error: unknown): TargetError {
  const reason = reasonOf(error);
  if (isNotSent(error)) return { type: 'notSent', reason };
  if (isTimeout(error)) return { type: 'timedOut' };
  return { type: 'cut', reason };
}

/** Handles a host with several addresses, which fails with one error for each. */
function areAllNotSent(error: unknown): boolean {
  return (
    error instanceof AggregateError &&
    error.errors.length > 0 &&
    error.errors.every(isNotSent)
  );
}

function codeOf(error: unknown): string | undefined {
  return stringField(error, 'code');
}

function reasonOf(error: unknown): string {
  return codeOf(error) ?? (error instanceof Error ? error.name : 'unknown');
}

function stringField(error: unknown, name: string): string | undefined {
  if (typeof error !== 'object' || error === null) return undefined;
  const value: unknown = Reflect.get(error, name);
  return typeof value === 'string' ? value : undefined;
}
