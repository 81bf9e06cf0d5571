import type { IncomingHttpHeaders } from 'node:http';
import { endToEndHeaders, type HttpDialect } from '../httpDialect/index.ts';

/** Age of a relayed request at the entry that its caller sent it to, in ms. Marks a
 * request as relayed. */
export const RELAY_AGE_HEADER = 'x-relay-age-ms';

/** Number of targets that a relayed request may still be sent to. */
export const RELAY_ATTEMPTS_HEADER = 'x-relay-attempts';

const RELAY_HEADERS = new Set([RELAY_AGE_HEADER, RELAY_ATTEMPTS_HEADER]);

const UNAVAILABLE = 503;

/** What the relaying entry says about a request. */
export interface RelayHead {
  readonly ageMs: number;
  readonly attempts: number;
}

/** A request to relay. */
export interface RelayedRequest extends RelayHead {
  /** Headers of the caller, as received. */
  readonly rawHeaders: readonly string[];
  readonly deadlineMs: number;
  readonly lastEventId: string | undefined;
}

/**
 * Builds the headers of a relayed request: the caller's, with its key, and what has
 * changed since it arrived.
 *
 * @param request - The request.
 * @param dialect - Names of the deployment's headers.
 * @returns Pairs of name and value.
 */
export function writeRelay(
  request: RelayedRequest,
  dialect: Pick<HttpDialect, 'deadlineHeader'>,
): readonly (readonly [string, string])[] {
  const { deadlineMs, lastEventId, ageMs, attempts } = request;
  const replaced = new Set([
    ...RELAY_HEADERS,
    dialect.deadlineHeader,
    'last-event-id',
  ]);
  return [
    ...endToEndHeaders(request.rawHeaders, replaced),
    [dialect.deadlineHeader, String(deadlineMs)],
    ...(lastEventId === undefined
      ? []
      : [['last-event-id', lastEventId] as const]),
    [RELAY_AGE_HEADER, String(Math.max(Math.round(ageMs), 0))],
    [RELAY_ATTEMPTS_HEADER, String(attempts)],
  ];
}

/**
 * Reads what the relaying entry says about a request.
 *
 * @param headers - Headers of the request.
 * @returns Age and attempts; undefined if the request was not relayed.
 */
export function readRelay(headers: IncomingHttpHeaders): RelayHead | undefined {
  const ageMs = Number(headers[RELAY_AGE_HEADER] ?? NaN);
  const attempts = Number(headers[RELAY_ATTEMPTS_HEADER] ?? NaN);
  return ageMs >= 0 && attempts >= 1 ? { ageMs, attempts } : undefined;
}

/** Removes the headers by which entries relay requests. */
export function withoutRelayHeaders(
  rawHeaders: readonly string[],
): readonly string[] {
  return rawHeaders.filter((_, index) => {
    const name = rawHeaders[index - (index % 2)] ?? '';
    return !RELAY_HEADERS.has(name.toLowerCase());
  });
}

/**
 * Returns the dialect for responses of peers to relayed requests. A peer's own 503
 * promises that the request did not run; what a target says of itself concerns the
 * peer.
 *
 * @param dialect - Dialect of the deployment.
 * @returns The dialect.
 */
export function relayDialect(dialect: HttpDialect): HttpDialect {
  return {
    ...dialect,
    readTarget(status, headers) {
      const head = dialect.readTarget(status, headers);
      const isRefusal = status === UNAVAILABLE && !head.isSigned;
      return { ...head, notExecuted: head.notExecuted || isRefusal };
    },
  };
}
