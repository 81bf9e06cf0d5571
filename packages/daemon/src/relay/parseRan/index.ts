import { ranSchema, type Ran } from '@endivegate/contracts';

/**
 * Parses the wire representation of whether a request ran.
 *
 * @param text - Value of a header or a message field.
 * @returns The parsed value, or `unknown` if the text is missing or invalid.
 */
export function parseRan(text: string | undefined): Ran {
  const parsed = ranSchema.safeParse(text);
  return parsed.success ? parsed.data : 'unknown';
}
