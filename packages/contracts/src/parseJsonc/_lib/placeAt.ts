/** A place in a text; line and column count from 1. */
export interface Place {
  readonly line: number;
  readonly column: number;
}

/**
 * Returns the line and column of an offset.
 *
 * @param text - The whole text.
 * @param offset - Offset in UTF-16 code units.
 * @returns The place, counted from 1.
 */
export function placeAt(text: string, offset: number): Place {
  const before = text.slice(0, offset).split('\n');
  const lastLine = before.at(-1) ?? '';
  return { line: before.length, column: lastLine.length + 1 };
}
