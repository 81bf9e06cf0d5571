import type { IncomingHttpHeaders } from 'node:http';
import {
  type ExactInteger,
  parseExactInteger,
} from '@endivegate/contracts/forwarding';
import { endToEndHeaders, type HttpDialect } from '../httpDialect/index.ts';

/** Age of a relayed request at the entry that its caller sent it to, in ms. Marks a
 * request as relayed. */
export const RELAY_AGE_HEADER = 'x-relay-age-ms';

/** Number of targets that a relayed request may still be sent to. */
export const RELAY_ATTEMPTS_HEADER = 'x-relay-attempts';

/** Version of the configuration by which the relaying entry has accepted a request. */
export const RELAY_CONFIG_HEADER = 'x-relay-config-version';

/** Says in the response to a relayed request whether a target or the entry itself has
 * answered. */
export const RELAY_ANSWERED_BY_HEADER = 'x-relay-by';

/** Who has answered a relayed request. */
export type RelayAnsweredBy = 'target' | 'entry';

/** Says in a response to a relayed request why the entry refuses it. */
export const RELAY_REFUSAL_HEADER = 'x-relay-refusal';

/** Why an entry refuses a relayed request: `local` if its own state is the reason, so that
 * another entry may serve the request. */
export type RelayRefusal = 'local';

/** Lower-case names of the headers that entries exchange about relayed requests. */
export const RELAY_HEADERS: ReadonlySet<string> = new Set([
  RELAY_AGE_HEADER,
  RELAY_ATTEMPTS_HEADER,
  RELAY_CONFIG_HEADER,
  RELAY_ANSWERED_BY_HEADER,
  RELAY_REFUSAL_HEADER,
]);

const MIN_CLIENT_ERROR_STATUS = 400;
const MIN_SERVER_ERROR_STATUS = 500;
const UNAVAILABLE = 503;

/** What the relaying entry says about a request. */
export interface RelayHead {
  readonly ageMs: number;
  readonly attempts: number;
  /** Version of the configuration that it must be served by, or a later one. */
  readonly configVersion: ExactInteger;
}

/** A request to relay. */
export interface RelayedRequest extends RelayHead {
  /** Headers of the caller, as received. */
  readonly rawHeaders: readonly string[];
  /** Time from the arrival at the relaying entry, not from now. */
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
  const { deadlineMs, lastEventId, ageMs, attempts, configVersion } = request;
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
    [RELAY_CONFIG_HEADER, String(configVersion)],
  ];
}

/**
 * Reads what the relaying entry says about a request.
 *
 * @param headers - Headers of the request.
 * @returns What it says; undefined if the request was not relayed.
 */
export function readRelay(headers: IncomingHttpHeaders): RelayHead | undefined {
  const ageMs = Number(headers[RELAY_AGE_HEADER] ?? NaN);
  const attempts = Number(headers[RELAY_ATTEMPTS_HEADER] ?? NaN);
  const configVersion = parseExactInteger(String(headers[RELAY_CONFIG_HEADER]));
  return ageMs >= 0 && attempts >= 1 && configVersion !== undefined
    ? { ageMs, attempts, configVersion }
    : undefined;
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
 * Returns the dialect for responses of peers to relayed requests. A peer's own 503 or
 * rejection promises that the request did not run. So does a response without the
 * relay header: its entry is of a build that serves no relayed requests.
 *
 * @param dialect - Dialect of the deployment.
 * @returns The dialect.
 */
export function relayDialect(dialect: HttpDialect): HttpDialect {
  return {
    ...dialect,
    readTarget(status, headers) {
      const head = dialect.readTarget(status, headers);
      const answeredBy = headers[RELAY_ANSWERED_BY_HEADER];
      const isRefusal = answeredBy === 'entry' && promisesNotRun(status);
      const refusal: RelayRefusal = 'local';
      return {
        ...head,
        notExecuted: head.notExecuted || answeredBy === undefined || isRefusal,
        isLocalRefusal: isRefusal && headers[RELAY_REFUSAL_HEADER] === refusal,
      };
    },
  };
}

/** Whether an entry's own status means that the request did not and will not run. */
function promisesNotRun(status: number): boolean {
  const isRejection =
    status >= MIN_CLIENT_ERROR_STATUS && status < MIN_SERVER_ERROR_STATUS;
  return isRejection || status === UNAVAILABLE;
}
