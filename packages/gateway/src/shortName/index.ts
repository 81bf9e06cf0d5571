import { createHash } from 'node:crypto';

/** 132 bits, so that names of a fleet do not collide. */
const HASH_LENGTH = 22;

/** Marks a name that stands for a longer one. */
const HASH_MARK = '~';

/**
 * Returns a name that entries can compare in messages of limited size. It is the same at
 * every entry, and the text itself where that is short enough.
 *
 * @param text - The name.
 * @param maxBytes - Most bytes of the text in UTF-8; 23 at least.
 * @returns The text, or a hash of it.
 *
 * @example
 * shortName('t1', 32); // 't1'
 */
export function shortName(text: string, maxBytes: number): string {
  if (Buffer.byteLength(text) <= maxBytes) return text;
  const hash = createHash('sha256').update(text).digest('base64url');
  return `${HASH_MARK}${hash.slice(0, HASH_LENGTH)}`;
}
