import type { IncomingHttpHeaders } from 'node:http';

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,256})$/;

/**
 * Reads the bearer token from the authorization header of a request.
 *
 * @param headers - Headers of the request.
 * @returns The token, or undefined if it is missing or malformed.
 */
export function readBearerToken(
  headers: IncomingHttpHeaders,
): string | undefined {
  return BEARER_PATTERN.exec(headers.authorization ?? '')?.[1];
}
