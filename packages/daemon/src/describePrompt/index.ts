import { createHash } from 'node:crypto';

/** Characters that count as one token when a prompt is sized. */
export const CHARS_PER_TOKEN = 4;

/** Shortest leading block of a prompt that gets a prefix hash. */
export const FIRST_PREFIX_BLOCK_CHARS = 1_024;

/** Size, fingerprint and prefix hashes of a prompt. */
export interface PromptDescription {
  readonly promptTokens: number;
  /** Hash of scope and prompt; equal for a resent request. */
  readonly fingerprint: string;
  /** Hashes of leading blocks whose lengths double, shortest first. */
  readonly prefixHashes: readonly string[];
}

/**
 * Describes a prompt without keeping it.
 *
 * Prefix lengths double, so a prompt of any length has few hashes and two
 * prompts that share a long prefix share all but the last of theirs.
 *
 * @param prompt - The whole prompt.
 * @param scope - What separates equal prompts, such as workspace and model.
 * @returns Size, fingerprint and prefix hashes.
 *
 * @example
 * describePrompt('Who is next?', 'circle-7/rota').promptTokens; // 3
 */
export function describePrompt(
  prompt: string,
  scope: string,
): PromptDescription {
  const hash = createHash('sha256').update(scope).update('\0');
  const prefixHashes = blockBounds(prompt.length).map(([from, to]) => {
    hash.update(prompt.slice(from, to));
    return hash.copy().digest('base64url').slice(0, 16);
  });
  const hashedChars = blockBounds(prompt.length).at(-1)?.[1] ?? 0;
  hash.update(prompt.slice(hashedChars));
  return {
    promptTokens: Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN)),
    fingerprint: hash.digest('base64url').slice(0, 22),
    prefixHashes,
  };
}

/** Returns the bounds of the blocks between doubling prefix lengths. */
function blockBounds(
  promptChars: number,
): readonly (readonly [from: number, to: number])[] {
  const blocks = Math.floor(Math.log2(promptChars / FIRST_PREFIX_BLOCK_CHARS));
  return Array.from({ length: Math.max(0, blocks + 1) }, (_, index) => {
    const to = FIRST_PREFIX_BLOCK_CHARS * 2 ** index;
    return [index === 0 ? 0 : to / 2, to] as const;
  });
}
