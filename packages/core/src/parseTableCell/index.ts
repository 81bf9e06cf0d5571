import type { TableCellValue } from '@endivegate/contracts';
import { LIST_COLUMNS, LIST_SEPARATOR } from '../tableCsvColumns/index.ts';

/** Cells that are always strings, even if the text looks like a number. */
const TEXT_CELLS: ReadonlySet<string> = new Set([
  'workspace',
  'service',
  'kind',
  'model',
  'version',
]);

/**
 * Parses the text of a cell.
 *
 * @param name - Name of the cell.
 * @param text - Text as typed by an operator or read from CSV.
 * @returns The value, not yet validated; undefined for an absent cell.
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

/** Removes the apostrophe that stops spreadsheets from evaluating a formula. */
function unescapeFormula(text: string): string {
  return /^'[=+\-@\t\r]/.test(text) ? text.slice(1) : text;
}
