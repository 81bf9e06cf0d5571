import { createHash, timingSafeEqual } from 'node:crypto';

const SCHEME = 'Bearer ';

/**
 * Checks the operators' token of a request in constant time.
 *
 * @param header - The request's `Authorization` header.
 * @param token - The operators' token.
 * @returns Whether the request carries the operators' token; false if that is empty.
 */
export function isAuthorized(
  header: string | undefined,
  token: string,
): boolean {
  const presentedToken = header?.startsWith(SCHEME)
    ? header.slice(SCHEME.length)
    : '';
  return timingSafeEqual(digest(presentedToken), digest(token)) && token !== '';
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
