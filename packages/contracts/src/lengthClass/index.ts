import { z } from 'zod';

/** Length classes of prompts, shortest first. */
export const lengthClassSchema = z.enum(['short', 'medium', 'long', 'huge']);

/** Length class of a prompt. */
export type LengthClass = z.infer<typeof lengthClassSchema>;

/** Maximum prompt length of each bounded length class, in tokens. */
export const LENGTH_CLASS_MAX_TOKENS = {
  short: 4_000,
  medium: 32_000,
  long: 100_000,
} as const;

/**
 * Returns the length class of a prompt.
 *
 * @param promptTokens - Length of the prompt in tokens.
 * @returns The first class whose maximum is not less than the length.
 *
 * @example
 * lengthClassOf(1_200); // 'short'
 */
export function lengthClassOf(promptTokens: number): LengthClass {
  if (promptTokens <= LENGTH_CLASS_MAX_TOKENS.short) return 'short';
  if (promptTokens <= LENGTH_CLASS_MAX_TOKENS.medium) return 'medium';
  if (promptTokens <= LENGTH_CLASS_MAX_TOKENS.long) return 'long';
  return 'huge';
}
