import { ranSchema, type Ran } from '@endivegate/contracts';

/**
 * Reads whether a request ran from its form on the wire.
 *
 * @param text - Text of a header or a message field.
 * @returns The value; `unknown` when the text is none.
 */
export function toRan(text: string | undefined): Ran {
  const parsed = ranSchema.safeParse(text);
  return parsed.success ? parsed.data : 'unknown';
}
