import { naturalTokens, promptDigest, tokenText } from '../_lib/tokenText.ts';

/**
 * Returns the complete answer that every engine stand-in gives to a prompt.
 *
 * Callers compare it with the answer they received, to detect one that is
 * incomplete, has repeated items or belongs to another prompt.
 *
 * @param prompt - The prompt as the engine receives it.
 * @param maxOutputTokens - Largest number of output tokens requested.
 * @returns The text of the answer.
 *
 * @example
 * const isIntact = received === expectedAnswer(prompt, 64);
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
