import type {
  TableCellValue,
  TableChange,
  TableDocument,
} from '@endivegate/contracts';
import {
  isSameCell,
  toTableRecords,
  type TableRecord,
} from '../tableRecords/index.ts';

/**
 * Lists the cells that differ between two tables.
 *
 * @param before - The older table.
 * @param after - The newer table.
 * @returns One change per differing cell, ordered by section, address and cell.
 *
 * @example
 * diffTables(current, edited); // [{ section: 'rows', cell: 'weight', ... }]
 */
export function diffTables(
  before: TableDocument,
  after: TableDocument,
): readonly TableChange[] {
  const older = toTableRecords(before);
  const newer = toTableRecords(after);
  const keys = [...new Set([...older.keys(), ...newer.keys()])].sort();
  return keys.flatMap((key) => diffRecords(older.get(key), newer.get(key)));
}

function diffRecords(
  older: TableRecord | undefined,
  newer: TableRecord | undefined,
): readonly TableChange[] {
  const record = newer ?? older;
  if (!record) return [];
  const cells = new Set([
    ...(older?.cells.keys() ?? []),
    ...(newer?.cells.keys() ?? []),
  ]);
  return [...cells]
    .sort()
    .map((cell) => ({
      section: record.section,
      address: [...record.address],
      cell,
      before: cellOf(older, cell),
      after: cellOf(newer, cell),
    }))
    .filter((change) => !isSameCell(change.before, change.after));
}

function cellOf(record: TableRecord | undefined, cell: string): TableCellValue {
  return record?.cells.get(cell) ?? null;
}
