import {
  ATTEMPT_ID_HEADER,
  RAN_HEADER,
  refusalSchema,
  type TargetError,
} from '@endivegate/contracts';
import type { Dispatcher } from 'undici';

type Headers = Dispatcher.ResponseData['headers'];

/** Bytes of an error body that are read; the rest is dropped. */
const MAX_ERROR_BODY_BYTES = 16 * 1024;

/**
 * Returns one header of an answer.
 *
 * @param headers - Headers of the answer.
 * @param name - Header name in lower case.
 * @returns Its value, or `undefined` when it is absent or repeated.
 */
export function headerOf(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Checks that an answer belongs to the attempt that asked for it.
 *
 * @param headers - Headers of the answer.
 * @param attemptId - The attempt.
 * @returns The error of an answer to another attempt, or to none.
 */
export function findCrossed(
  headers: Headers,
  attemptId: string,
): TargetError | undefined {
  const echoed = headerOf(headers, ATTEMPT_ID_HEADER);
  if (echoed === attemptId) return undefined;
  return { type: 'crossed', attemptId: echoed ?? '' };
}

/**
 * Tells whether a target says that it refused a call before it started.
 *
 * @param headers - Headers of the answer.
 * @returns Whether the call is known not to have run.
 */
export function isRefusal(headers: Headers): boolean {
  return headerOf(headers, RAN_HEADER) === 'no';
}

/**
 * Reads the error of an answer with an error status.
 *
 * @param response - The answer; its body is consumed.
 * @returns `refused` when the target says so, else `failed`.
 */
export async function readTargetError(
  response: Dispatcher.ResponseData,
): Promise<TargetError> {
  const { statusCode, headers } = response;
  const text = await readText(response);
  if (!isRefusal(headers)) {
    return { type: 'failed', reason: `status ${statusCode}` };
  }
  const refusal = refusalSchema.safeParse(parseJson(text)).data;
  return {
    type: 'refused',
    reason: refusal?.reason ?? `status ${statusCode}`,
    retryAfterMs: refusal?.retryAfterMs,
  };
}

/**
 * Keeps an answer's body from failing the process when it breaks unread.
 *
 * @param body - Body of the answer.
 */
export function guardBody(body: Dispatcher.ResponseData['body']): void {
  body.on('error', () => undefined);
}

/**
 * Drops an answer's body with its connection.
 *
 * @param body - Body of the answer.
 */
export function discardBody(body: Dispatcher.ResponseData['body']): void {
  guardBody(body);
  body.destroy();
}

/** Reads a short text body; a body that breaks counts as empty. */
async function readText(response: Dispatcher.ResponseData): Promise<string> {
  try {
    const text = await response.body.text();
    return text.slice(0, MAX_ERROR_BODY_BYTES);
  } catch {
    return '';
  }
}

/**
 * Parses JSON that another process sent.
 *
 * @param text - The text.
 * @returns The value, or `undefined` when it is not JSON.
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
