import { createHash, timingSafeEqual } from 'node:crypto';

const SCHEME = 'Bearer ';

/**
 * Tells whether a request carries the operators' token, in constant time.
 *
 * @param header - The request's `Authorization` header.
 * @param token - The operators' token.
 * @returns Whether the token is theirs.
 */
export function isAuthorized(
  header: string | undefined,
  token: string,
): boolean {
  const given = header?.startsWith(SCHEME) ? header.slice(SCHEME.length) : '';
  return timingSafeEqual(digest(given), digest(token)) && token !== '';
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
