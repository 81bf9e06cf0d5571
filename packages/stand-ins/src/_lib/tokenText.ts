import { createHash } from 'node:crypto';

const WORDS =
  'the pump tyre pot rota next week shows a steady reading so check it again before you sign'.split(
    ' ',
  );

/** Longest answer of an engine stand-in without an output limit, in tokens. */
const MAX_NATURAL_TOKENS = 96;

/** Shortest answer of an engine stand-in without an output limit, in tokens. */
const MIN_NATURAL_TOKENS = 16;

/**
 * Returns a digest of a prompt. The answer to the prompt begins with it.
 *
 * @param prompt - The prompt.
 * @returns Eight hexadecimal digits.
 */
export function promptDigest(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, 8);
}

/**
 * Returns one token of the answer to a prompt.
 *
 * @param digest - Digest of the prompt.
 * @param offset - Index of the token, from 0.
 * @returns The token's text.
 */
export function tokenText(digest: string, offset: number): string {
  if (offset === 0) return `[${digest}]`;
  const start = parseInt(digest, 16);
  return ` ${WORDS[(start + offset * 7) % WORDS.length] ?? ''}`;
}

/**
 * Returns the length of a prompt's answer without an output limit.
 *
 * @param digest - Digest of the prompt.
 * @returns Length of the answer in tokens.
 */
export function naturalTokens(digest: string): number {
  const span = MAX_NATURAL_TOKENS - MIN_NATURAL_TOKENS + 1;
  return MIN_NATURAL_TOKENS + (parseInt(digest, 16) % span);
}
