import { xxHash32 } from 'js-xxhash';

/** Part ids contain no colon, so that they never equal a request's. */
const PREFIX = 'request:';

const SECOND_SEED = 1;
const HEX = 16;

/**
 * Returns the part that stands for a whole request among the causes of a death.
 *
 * @param fingerprint - Fingerprint of path, caller and body.
 * @returns The part, of 24 characters at most.
 *
 * @example
 * requestPart('/v1/chat|w1|120|77'); // 'request:...'
 */
export function requestPart(fingerprint: string): string {
  const [first, second] = [0, SECOND_SEED].map((seed) =>
    xxHash32(fingerprint, seed).toString(HEX),
  );
  return `${PREFIX}${first}${second}`;
}

/** Whether a part stands for a whole request. */
export function isRequestPart(part: string): boolean {
  return part.startsWith(PREFIX);
}
