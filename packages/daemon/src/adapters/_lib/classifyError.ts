import type { TargetError } from '@endivegate/contracts';

/** System calls of the connection attempt itself, before any byte is sent. */
const CONNECT_SYSCALLS: ReadonlySet<string> = new Set([
  'connect',
  'getaddrinfo',
]);

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/** Error codes of an answer that did not come in time. */
const TIMEOUT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

/**
 * Tells whether a call failed before any byte of it left this process.
 *
 * Only errors of the connection attempt count: a connection that breaks later
 * may have carried the whole request, also when the error's code is one that
 * connection attempts meet (a lost route fails reads and writes as well).
 *
 * @param error - What the HTTP client threw.
 * @returns Whether it is certain that nothing was sent.
 */
export function isNotSent(error: unknown): boolean {
  if (codeOf(error) === CONNECT_TIMEOUT_CODE) return true;
  const syscall = stringField(error, 'syscall');
  if (syscall !== undefined) return CONNECT_SYSCALLS.has(syscall);
  return isAllNotSent(error);
}

/**
 * Tells whether a call failed because its time was over.
 *
 * @param error - What the HTTP client threw.
 * @returns Whether it was a time-out.
 */
export function isTimeout(error: unknown): boolean {
  if (error instanceof Error && error.name === 'TimeoutError') return true;
  const code = codeOf(error);
  return code !== undefined && TIMEOUT_CODES.has(code);
}

/**
 * Turns what an HTTP client threw into the error of a call to a target.
 *
 * @param error - What the HTTP client threw.
 * @returns The error; `notSent` only when that is certain.
 */
export function toTargetError(error: unknown): TargetError {
  const reason = reasonOf(error);
  if (isNotSent(error)) return { type: 'notSent', reason };
  if (isTimeout(error)) return { type: 'timedOut' };
  return { type: 'cut', reason };
}

/** A host with several addresses fails with one error for each. */
function isAllNotSent(error: unknown): boolean {
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
