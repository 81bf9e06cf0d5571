import {
  tableRowSchema,
  wantedModelSchema,
  workspaceRecordSchema,
  type TableSection,
} from '@endivegate/contracts';

/** Record schema of each section. */
export const RECORD_SCHEMAS = {
  rows: tableRowSchema,
  workspaces: workspaceRecordSchema,
  models: wantedModelSchema,
} as const;

/** Separator between the elements of a list cell. */
export const LIST_SEPARATOR = ';';

/** Columns whose cells contain a list. */
export const LIST_COLUMNS: ReadonlySet<string> = new Set([
  'tokenSha256',
  'adapters',
]);

/**
 * Returns the CSV columns of a section.
 *
 * @param section - Section of the table.
 * @returns Column names, starting with the columns of the address.
 */
export function tableCsvColumns(section: TableSection): readonly string[] {
  return Object.keys(RECORD_SCHEMAS[section].shape);
}
