import type { IncomingHttpHeaders } from 'node:http';

/** Sizes that a caller declares of a prompt. */
export interface DeclaredPrompt {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output; often far off. */
  readonly hintedOutputTokens: number | undefined;
}

/** What a caller's request says besides method, path and body. */
export interface CallerHead {
  /** Id of this attempt of the caller; every attempt has its own. */
  readonly attemptId: string | undefined;
  /** How long the caller waits. */
  readonly deadlineMs: number | undefined;
  readonly lastEventId: string | undefined;
  readonly key: string | undefined;
  readonly prompt: DeclaredPrompt | undefined;
}

/** What is told to a target besides the caller's own headers. */
export interface SendHead {
  readonly targetId: string;
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  readonly lastEventId: string | undefined;
  /** 0 is the most urgent. */
  readonly enginePriority: number | undefined;
  /** Addresses of engines that read parts of the prompt, with their tickets. */
  readonly helpers: readonly HelperEndpoint[];
}

/** A helper, and the reservation that its part is stored in. */
export interface HelperEndpoint {
  readonly address: string;
  readonly reservationId: string | undefined;
}

/** What the head of a target's answer says. */
export interface TargetHead {
  readonly attemptId: string | undefined;
  /** Whether the target vouches that the answer is its own. */
  readonly isSigned: boolean;
  /** Whether the target says that it did not run the request. */
  readonly notExecuted: boolean;
  /** Address of the target that is to blame for a refusal. */
  readonly blamedAddress: string | undefined;
}

/** How a deployment spells what the gateway needs to know of HTTP messages. */
export interface HttpDialect {
  readonly readCaller: (headers: IncomingHttpHeaders) => CallerHead;
  readonly writeSend: (
    head: SendHead,
  ) => readonly (readonly [string, string])[];
  readonly readTarget: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => TargetHead;
  /** Lower-case names of callers' headers that are not passed on. */
  readonly withheldHeaders: ReadonlySet<string>;
  /** Header that carries the attempt's id, lower case. */
  readonly attemptIdHeader: string;
}

const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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
 * Drops headers that concern one connection only, and those that the caller of
 * this function names.
 *
 * @param rawHeaders - Names and values in turn, as received.
 * @param withheld - Further names to drop, lower case.
 * @returns Pairs of name and value, in order.
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
  const named = new Set(
    pairs
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.toLowerCase().split(','))
      .map((name) => name.trim()),
  );
  return pairs.filter(([name]) => {
    const key = name.toLowerCase();
    return (
      !CONNECTION_HEADERS.has(key) && !named.has(key) && !withheld.has(key)
    );
  });
}

/**
 * Returns the text of a header.
 *
 * @param headers - Headers by lower-case name.
 * @param name - Lower-case name.
 * @returns Its first value, or undefined without one.
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
 * Returns the number that a header holds.
 *
 * @param headers - Headers by lower-case name.
 * @param name - Lower-case name.
 * @returns The number, or undefined when there is none.
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
