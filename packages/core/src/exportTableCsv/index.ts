import { stringify } from 'csv-stringify/sync';
import type { TableDocument, TableSection } from '@endivegate/contracts';
import { LIST_SEPARATOR, tableCsvColumns } from '../tableCsvColumns/index.ts';

/**
 * Formats a section of the table as CSV for use in a spreadsheet.
 *
 * Text that a spreadsheet would evaluate as a formula is escaped with a leading
 * apostrophe, which the import removes.
 *
 * @param document - The table.
 * @param section - Section to export.
 * @returns CSV text with a header line.
 *
 * @example
 * exportTableCsv(document, 'rows');
 */
export function exportTableCsv(
  document: TableDocument,
  section: TableSection,
): string {
  return stringify([...document[section]], {
    header: true,
    columns: [...tableCsvColumns(section)],
    escape_formulas: true,
    cast: {
      boolean: String,
      object: (value: object) => Object.values(value).join(LIST_SEPARATOR),
    },
  });
}
