import { createHash } from 'node:crypto';

/** Characters per token, for estimating the token count of a prompt. */
export const CHARS_PER_TOKEN = 4;

/** Length of the shortest prefix of a prompt that gets a hash. */
export const FIRST_PREFIX_BLOCK_CHARS = 1_024;

/** Estimated token count, fingerprint and prefix hashes of a prompt. */
export interface PromptDescription {
  readonly promptTokens: number;
  /** Hash of scope and prompt; equal if the same request is sent again. */
  readonly fingerprint: string;
  /** Hashes of prefixes whose lengths double, shortest first. */
  readonly prefixHashes: readonly string[];
}

/**
 * Computes the values by which a prompt is routed and recognized, so that its
 * text need not be kept.
 *
 * Prefix lengths double, so that a prompt of any length has few hashes, and two
 * prompts with a long common prefix share all but the last of their hashes.
 *
 * @param prompt - The complete prompt.
 * @param scope - Scope within which equal prompts get equal hashes, such as
 *   workspace and model.
 * @returns Estimated token count, fingerprint and prefix hashes.
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

/** Returns the bounds of the blocks between consecutive prefix lengths. */
function blockBounds(
  promptChars: number,
): readonly (readonly [from: number, to: number])[] {
  const blocks = Math.floor(Math.log2(promptChars / FIRST_PREFIX_BLOCK_CHARS));
  return Array.from({ length: Math.max(0, blocks + 1) }, (_, index) => {
    const to = FIRST_PREFIX_BLOCK_CHARS * 2 ** index;
    return [index === 0 ? 0 : to / 2, to] as const;
  });
}
