import type { TableRow, TableRowKey } from '@endivegate/contracts';

/** Table rows by {@link rowKeyOf}. */
export type RowIndex = ReadonlyMap<string, TableRow>;

/**
 * Returns the index key of a row's address.
 *
 * @param key - Workspace, service and kind; `*` matches all.
 * @returns A string that is unique to the address.
 *
 * @example
 * rowKeyOf({ workspace: 'a', service: '*', kind: '*' });
 */
export function rowKeyOf(key: TableRowKey): string {
  return JSON.stringify([key.workspace, key.service, key.kind]);
}

/**
 * Indexes rows by address for lookup in constant time.
 *
 * @param rows - Rows of the table; the last row with an address wins.
 * @returns The index, as used by `resolveRow`.
 *
 * @example
 * const index = indexRows(table.rows);
 */
export function indexRows(rows: readonly TableRow[]): RowIndex {
  return new Map(rows.map((row) => [rowKeyOf(row), row]));
}
