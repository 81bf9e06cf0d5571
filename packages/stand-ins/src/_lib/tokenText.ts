import { createHash } from 'node:crypto';

const WORDS =
  'the pump tyre pot rota next week shows a steady reading so check it again before you sign'.split(
    ' ',
  );

/** Longest natural answer of a stand-in engine, in tokens. */
const MAX_NATURAL_TOKENS = 96;

/** Shortest natural answer of a stand-in engine, in tokens. */
const MIN_NATURAL_TOKENS = 16;

/**
 * Returns a digest of a prompt, which its answer begins with.
 *
 * @param prompt - The prompt.
 * @returns Eight hexadecimal digits.
 */
export function promptDigest(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, 8);
}

/**
 * Returns one token of the answer that belongs to a prompt.
 *
 * @param digest - Digest of the prompt.
 * @param offset - Place of the token, from 0.
 * @returns The token's text.
 */
export function tokenText(digest: string, offset: number): string {
  if (offset === 0) return `[${digest}]`;
  const start = parseInt(digest, 16);
  return ` ${WORDS[(start + offset * 7) % WORDS.length] ?? ''}`;
}

/**
 * Returns how many tokens a prompt's answer has when nothing limits it.
 *
 * @param digest - Digest of the prompt.
 * @returns Length of the answer in tokens.
 */
export function naturalTokens(digest: string): number {
  const span = MAX_NATURAL_TOKENS - MIN_NATURAL_TOKENS + 1;
  return MIN_NATURAL_TOKENS + (parseInt(digest, 16) % span);
}
