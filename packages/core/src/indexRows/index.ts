import type { TableRow, TableRowKey } from '@endivegate/contracts';

/** Table rows by the string form of their address. */
export type RowIndex = ReadonlyMap<string, TableRow>;

/**
 * Returns the string form of a row's address.
 *
 * @param key - Workspace, service and kind; `*` stands for all.
 * @returns A string that is equal for equal addresses only.
 *
 * @example
 * rowKeyOf({ workspace: 'a', service: '*', kind: '*' });
 */
export function rowKeyOf(key: TableRowKey): string {
  return JSON.stringify([key.workspace, key.service, key.kind]);
}

/**
 * Indexes rows by their address, so that a request's row is found without a scan.
 *
 * @param rows - Rows of the table; of two rows with one address the later wins.
 * @returns The index that `resolveRow` reads.
 *
 * @example
 * const index = indexRows(table.rows);
 */
export function indexRows(rows: readonly TableRow[]): RowIndex {
  return new Map(rows.map((row) => [rowKeyOf(row), row]));
}
