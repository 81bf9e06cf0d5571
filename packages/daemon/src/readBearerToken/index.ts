import type { IncomingHttpHeaders } from 'node:http';

const BEARER = /^Bearer ([\x21-\x7e]{1,256})$/;

/**
 * Reads the bearer token of a request.
 *
 * @param headers - Headers of the request.
 * @returns The token, or undefined when there is no well-formed one.
 */
export function readBearerToken(
  headers: IncomingHttpHeaders,
): string | undefined {
  return BEARER.exec(headers.authorization ?? '')?.[1];
}
