import {
  ATTEMPT_ID_HEADER,
  RAN_HEADER,
  refusalSchema,
  type TargetError,
} from '@endivegate/contracts';
import type { Dispatcher } from 'undici';
import { readTextBody } from './readBody.ts';

type Headers = Dispatcher.ResponseData['headers'];

const NO_CONTENT = 204;

/** Maximum size of an error body; a larger one is not read to its end. */
const MAX_ERROR_BODY_BYTES = 16 * 1024;

/**
 * Returns one header of a response.
 *
 * @param headers - Headers of the response.
 * @param name - Header name in lower case.
 * @returns Value of the header, or `undefined` when it is absent or repeated.
 */
export function getHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Checks that a response belongs to the attempt that was sent.
 *
 * @param headers - Headers of the response.
 * @param attemptId - Id of the attempt.
 * @returns A `crossed` error when the response names another attempt or none.
 */
export function checkAttemptId(
  headers: Headers,
  attemptId: string,
): TargetError | undefined {
  const echoed = getHeader(headers, ATTEMPT_ID_HEADER);
  if (echoed === attemptId) return undefined;
  return { type: 'crossed', attemptId: echoed ?? '' };
}

/**
 * Checks that the end of a response's body shows whether the body is complete: a response
 * that ends with its connection looks the same when it is cut. A transfer coding beside
 * `chunked` is not removed from the body.
 *
 * @param response - The response; its body is discarded if there is an error.
 * @returns A `cut` error for a response with neither a length nor chunks.
 */
export function checkFraming({
  body,
  headers,
  statusCode,
}: Dispatcher.ResponseData): TargetError | undefined {
  const codings = headers['transfer-encoding'];
  const isChunked = String(codings).toLowerCase() === 'chunked';
  const hasLength =
    codings === undefined &&
    (statusCode === NO_CONTENT ||
      getHeader(headers, 'content-length') !== undefined);
  if (isChunked || hasLength) return undefined;
  discardBody(body);
  return { type: 'cut', reason: 'answer without a length' };
}

/**
 * Checks whether the target reports that it refused the call before it ran.
 *
 * @param headers - Headers of the response.
 * @returns Whether the call is known not to have run.
 */
export function isRefusal(headers: Headers): boolean {
  return getHeader(headers, RAN_HEADER) === 'no';
}

/**
 * Reads the error from an error response.
 *
 * @param response - The response; its body is consumed.
 * @returns `refused` when the target reports a refusal, else `failed`.
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
 * Ignores errors of a response body, so that a connection that breaks before
 * the body is read does not end the process with an unhandled error.
 *
 * @param body - Body of the response.
 */
export function ignoreBodyErrors(body: Dispatcher.ResponseData['body']): void {
  body.on('error', () => undefined);
}

/**
 * Discards a response body and closes its connection.
 *
 * @param body - Body of the response.
 */
export function discardBody(body: Dispatcher.ResponseData['body']): void {
  ignoreBodyErrors(body);
  body.destroy();
}

/** Reads a short text body; returns an empty text when the body breaks off or is
 * too large. */
async function readText(response: Dispatcher.ResponseData): Promise<string> {
  try {
    return await readTextBody(response.body, {
      maxBytes: MAX_ERROR_BODY_BYTES,
    });
  } catch {
    return '';
  }
}

/**
 * Parses JSON received from another process.
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
