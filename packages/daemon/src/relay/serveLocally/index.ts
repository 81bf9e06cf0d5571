import { request } from 'undici';
import { parseRan } from '../parseRan/index.ts';
import type { RelayedAnswer, RelayedRequest } from '../serveRelay/index.ts';

/** Header that marks a request as relayed, so that it is not relayed again. */
export const RELAYED_HEADER = 'endivegate-relayed';

/** Header that states whether a request ran. */
const RAN_HEADER = 'endivegate-ran';

/** Headers that apply to a single connection and are not forwarded. */
const PER_CONNECTION_HEADERS = new Set([
  'connection',
  'content-length',
  'host',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Removes the headers that apply to a single connection.
 *
 * @param headers - Headers as received.
 * @returns The headers to forward; multiple values are joined into one.
 */
export function forwardedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || PER_CONNECTION_HEADERS.has(name)
        ? []
        : [[name, Array.isArray(value) ? value.join(', ') : value]],
    ),
  );
}

/**
 * Creates a function that sends relayed requests to this entry's own callers'
 * server, so that they pass the same checks as direct requests.
 *
 * @param callersUrl - Base URL of the callers' server.
 * @returns The function, for `serveRelay`.
 */
export function serveLocally(
  callersUrl: string,
): (relayed: RelayedRequest) => Promise<RelayedAnswer> {
  return async ({ head, body, signal }) => {
    const answer = await request(`${callersUrl}${head.path}`, {
      method: head.method,
      headers: { ...head.headers, [RELAYED_HEADER]: '1' },
      body: body.length === 0 ? null : Buffer.from(body),
      headersTimeout: head.timeoutMs,
      bodyTimeout: head.timeoutMs,
      signal,
    });
    const headers = forwardedHeaders(answer.headers);
    return {
      head: { status: answer.statusCode, headers },
      chunks: answer.body,
      ran: () => parseRan(headers[RAN_HEADER]),
    };
  };
}
