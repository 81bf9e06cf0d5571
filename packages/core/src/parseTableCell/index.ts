import type { TableCellValue } from '@endivegate/contracts';
import { LIST_COLUMNS, LIST_SEPARATOR } from '../tableCsvColumns/index.ts';

/** Cells whose text is kept as it is. */
const TEXT_CELLS: ReadonlySet<string> = new Set([
  'workspace',
  'service',
  'kind',
  'model',
  'version',
]);

/**
 * Turns the text of a cell into its value.
 *
 * @param name - Name of the cell.
 * @param text - Text as typed or as read from CSV.
 * @returns The value, yet to be validated; undefined for an absent cell.
 *
 * @example
 * parseTableCell('weight', '2'); // 2
 */
export function parseTableCell(
  name: string,
  text: string,
): Exclude<TableCellValue, null> | undefined {
  if (LIST_COLUMNS.has(name)) {
    return text === '' ? [] : text.split(LIST_SEPARATOR).map(unescapeFormula);
  }
  if (text === '') return undefined;
  if (TEXT_CELLS.has(name)) return unescapeFormula(text);
  const lower = text.toLowerCase();
  if (lower === 'true' || lower === 'false') return lower === 'true';
  const number = Number(text);
  return Number.isNaN(number) ? text : number;
}

/** Removes the apostrophe that keeps a spreadsheet from running a formula. */
function unescapeFormula(text: string): string {
  return /^'[=+\-@\t\r]/.test(text) ? text.slice(1) : text;
}
