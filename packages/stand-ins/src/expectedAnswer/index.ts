import { naturalTokens, promptDigest, tokenText } from '../_lib/tokenText.ts';

/**
 * Returns the whole answer that every engine stand-in gives to a prompt.
 *
 * A caller compares it with what it received, so that an answer which is
 * incomplete, doubled or another prompt's is found.
 *
 * @param prompt - The prompt as the engine receives it.
 * @param maxOutputTokens - Largest number of tokens asked for.
 * @returns The text.
 *
 * @example
 * const isOwn = received === answerOf(prompt, 64);
 */
export function expectedAnswer(
  prompt: string,
  maxOutputTokens: number,
): string {
  const digest = promptDigest(prompt);
  const length = Math.min(maxOutputTokens, naturalTokens(digest));
  return Array.from({ length }, (_, offset) => tokenText(digest, offset)).join(
    '',
  );
}
