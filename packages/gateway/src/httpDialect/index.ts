import type { IncomingHttpHeaders } from 'node:http';
import { shortName } from '../shortName/index.ts';

/** Prompt and output sizes declared by the caller. */
export interface DeclaredPrompt {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output; often inaccurate. */
  readonly hintedOutputTokens: number | undefined;
}

/** Gateway-specific values read from the headers of a caller's request. */
export interface CallerHead {
  /** Id of this attempt; callers use a new id for each attempt. */
  readonly attemptId: string | undefined;
  /** How long the caller waits for the response. */
  readonly deadlineMs: number | undefined;
  readonly lastEventId: string | undefined;
  readonly key: string | undefined;
  readonly prompt: DeclaredPrompt | undefined;
  /** Ids of the parts that the prompt shares with other requests, in order: all
   * but the last one, which is the request's own. */
  readonly sharedParts: readonly string[];
}

/** Values sent to a target in addition to the caller's headers. */
export interface SendHead {
  readonly targetId: string;
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  readonly lastEventId: string | undefined;
  /** Scheduling priority of the prompt at the engine; 0 is the highest. */
  readonly enginePriority: number | undefined;
  /** Engines that prefill parts of the prompt, with their reservations. */
  readonly helpers: readonly HelperEndpoint[];
}

/** A helper engine, and the reservation that stores its part of the prompt. */
export interface HelperEndpoint {
  readonly address: string;
  /**
   * Id of the reservation; undefined if no memory was reserved at this helper.
   */
  readonly reservationId: string | undefined;
}

/** Values read from the head of a target's response. */
export interface TargetHead {
  readonly attemptId: string | undefined;
  /** Whether the target signed the response as its own. */
  readonly isSigned: boolean;
  /** Whether the target states that it did not run the request. */
  readonly notExecuted: boolean;
  /** Whether a peer refuses a relayed request that another entry may serve; false by
   * default. */
  readonly isLocalRefusal?: boolean;
  /** Address of the target that caused a refusal. */
  readonly blamedAddress: string | undefined;
  /** Whether the target announces that it is leaving. */
  readonly isLeaving: boolean;
  /** Pause that the target asks this entry for when it refuses a request. */
  readonly pause: RequestedPause;
  /** Requests per second that the target takes from all entries together. */
  readonly limit: NamedLimit;
  /** How long the target stays cold. */
  readonly warmUp: NamedWarmUp;
}

/** How long a target stays cold, as written in its response; 0 if it is warm. */
export type NamedWarmUp =
  | { readonly type: 'none' }
  | { readonly type: 'named'; readonly leftMs: number }
  | { readonly type: 'unreadable'; readonly text: string };

/** A limit on requests that a target names, as written in its response. */
export type NamedLimit =
  | { readonly type: 'none' }
  | { readonly type: 'named'; readonly requestsPerS: number }
  | { readonly type: 'unreadable'; readonly text: string };

/** A pause that a target asks for, as written in its response. */
export type RequestedPause =
  | { readonly type: 'none' }
  | { readonly type: 'requested'; readonly pauseMs: number }
  | { readonly type: 'unreadable'; readonly text: string };

const MS_PER_S = 1000;

/**
 * Reads a `Retry-After` header in seconds, which may have a fraction. A date is
 * not accepted, because clocks differ.
 *
 * @param text - Value of the header; undefined if the response has none.
 * @returns The pause.
 *
 * @example
 * readRetryAfter('1.5'); // { type: 'requested', pauseMs: 1500 }
 */
export function readRetryAfter(text: string | undefined): RequestedPause {
  if (text === undefined) return { type: 'none' };
  return /^\d+(\.\d+)?$/.test(text.trim())
    ? { type: 'requested', pauseMs: Number(text) * MS_PER_S }
    : { type: 'unreadable', text };
}

/** A higher limit restricts no fleet. */
const MAX_LIMIT_PER_S = 1_000_000;

/**
 * Reads a limit in requests per second, a decimal number. Of several header lines,
 * which Node joins with commas, the lowest limit applies.
 *
 * @param text - Value of the header; undefined if the response has none.
 * @returns The limit.
 *
 * @example
 * readLimit('2.5'); // { type: 'named', requestsPerS: 2.5 }
 */
export function readLimit(text: string | undefined): NamedLimit {
  if (text === undefined) return { type: 'none' };
  const values = text
    .split(',')
    .filter((value) => /^\s*\d+(\.\d+)?\s*$/.test(value))
    .map(Number);
  return values.length > 0
    ? {
        type: 'named',
        requestsPerS: Math.min(...values, MAX_LIMIT_PER_S),
      }
    : { type: 'unreadable', text };
}

/**
 * Reads how long a target stays cold, a decimal number of ms. Of several header
 * lines, which Node joins with commas, the longest time applies.
 *
 * @param text - Value of the header; undefined if the response has none.
 * @returns The time, or the text if it is negative or not a number.
 *
 * @example
 * readWarmUp('1500'); // { type: 'named', leftMs: 1500 }
 */
export function readWarmUp(text: string | undefined): NamedWarmUp {
  if (text === undefined) return { type: 'none' };
  const values = text
    .split(',')
    .filter((value) => /^\s*\d+(\.\d+)?\s*$/.test(value))
    .map(Number);
  return values.length > 0
    ? { type: 'named', leftMs: Math.max(...values) }
    : { type: 'unreadable', text };
}

/** Longest list of part ids that is read: the first ones are shared by most. */
export const MAX_SHARED_PARTS = 12;

/** Builds of protocol version 1 ignore lists with longer ids. */
const MAX_PART_ID_BYTES = 32;

/**
 * Reads a list of a prompt's parts, as comma-separated `id` or `id:tokens`.
 *
 * @param text - Value of the header; undefined if the request has none.
 * @returns Ids of all parts but the last one, without repeats, long ones as their short
 * names; empty if the list cannot be read.
 *
 * @example
 * readSharedParts('5c1e07a2:800,91bd3f06:410,e4402b7d:250');
 */
export function readSharedParts(text: string | undefined): readonly string[] {
  if (text === undefined) return [];
  const ids = text
    .split(',')
    .map((part) => part.split(':', 1)[0]?.trim() ?? '');
  return ids.includes('')
    ? []
    : [...new Set(ids.slice(0, -1))]
        .slice(0, MAX_SHARED_PARTS)
        .map((id) => shortName(id, MAX_PART_ID_BYTES));
}

/**
 * Maps the values that the gateway uses to the HTTP headers of a deployment.
 */
export interface HttpDialect {
  readonly readCaller: (headers: IncomingHttpHeaders) => CallerHead;
  readonly writeSend: (
    head: SendHead,
  ) => readonly (readonly [string, string])[];
  readonly readTarget: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => TargetHead;
  /** Lower-case names of caller headers that are not forwarded. */
  readonly withheldHeaders: ReadonlySet<string>;
  /** Lower-case name of the header with the attempt id. */
  readonly attemptIdHeader: string;
  /** Lower-case name of the header with the time that a caller waits, in ms. */
  readonly deadlineHeader: string;
}

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/**
 * Removes hop-by-hop headers, including those listed in Connection, and the
 * given headers.
 *
 * @param rawHeaders - Alternating names and values, as received.
 * @param withheld - Lower-case names of further headers to remove.
 * @returns Remaining pairs of name and value, in order.
 *
 * @example
 * passedHeaders(request.rawHeaders, dialect.withheldHeaders);
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  withheld: ReadonlySet<string>,
): readonly (readonly [string, string])[] {
  const pairs = rawHeaders.flatMap((name, index) =>
    index % 2 === 0 ? [[name, rawHeaders[index + 1] ?? ''] as const] : [],
  );
  const connectionOptions = new Set(
    pairs
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.toLowerCase().split(','))
      .map((name) => name.trim()),
  );
  return pairs.filter(([name]) => {
    const key = name.toLowerCase();
    return (
      !HOP_BY_HOP_HEADERS.has(key) &&
      !connectionOptions.has(key) &&
      !withheld.has(key)
    );
  });
}

/**
 * Returns the first value of a header.
 *
 * @param headers - Headers by lower-case name.
 * @param name - Lower-case name.
 * @returns The first value, or undefined if the header is missing.
 *
 * @example
 * headerText(request.headers, 'x-request');
 */
export function headerText(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/**
 * Returns the numeric value of a header.
 *
 * @param headers - Headers by lower-case name.
 * @param name - Lower-case name.
 * @returns The number, or undefined if the header is missing or not a finite
 * number.
 *
 * @example
 * headerNumber(request.headers, 'x-deadline-ms');
 */
export function headerNumber(
  headers: IncomingHttpHeaders,
  name: string,
): number | undefined {
  const value = Number(headerText(headers, name) ?? NaN);
  return Number.isFinite(value) ? value : undefined;
}
