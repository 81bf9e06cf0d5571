/** A position in a text, with 1-based line and column. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/**
 * Returns the line and column of an offset.
 *
 * @param text - The whole text.
 * @param offset - Offset in UTF-16 code units.
 * @returns The position, counted from 1.
 */
export function positionAt(text: string, offset: number): TextPosition {
  const before = text.slice(0, offset).split('\n');
  const lastLine = before.at(-1) ?? '';
  return { line: before.length, column: lastLine.length + 1 };
}
