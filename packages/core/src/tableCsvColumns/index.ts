import {
  tableRowSchema,
  wantedModelSchema,
  workspaceRecordSchema,
  type TableSection,
} from '@endivegate/contracts';

/** Schema of one record of each section. */
export const RECORD_SCHEMAS = {
  rows: tableRowSchema,
  workspaces: workspaceRecordSchema,
  models: wantedModelSchema,
} as const;

/** Separator of the elements of a list cell. */
export const LIST_SEPARATOR = ';';

/** Columns whose cells hold a list. */
export const LIST_COLUMNS: ReadonlySet<string> = new Set([
  'tokenSha256',
  'adapters',
]);

/**
 * Names the columns of a section's CSV form.
 *
 * @param section - Section of the table.
 * @returns Column names, address first.
 */
export function tableCsvColumns(section: TableSection): readonly string[] {
  return Object.keys(RECORD_SCHEMAS[section].shape);
}
