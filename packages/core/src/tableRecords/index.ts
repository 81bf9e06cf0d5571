import {
  RECORD_CELL,
  type TableCellValue,
  type TableDocument,
  type TableSection,
} from '@endivegate/contracts';

/** Fields of a record that make up its address, by section. */
export const ADDRESS_FIELDS: Readonly<Record<TableSection, readonly string[]>> =
  {
    rows: ['workspace', 'service', 'kind'],
    workspaces: ['workspace'],
    models: ['model'],
  };

/** Sections of a table in canonical order. */
export const TABLE_SECTIONS: readonly TableSection[] = [
  'rows',
  'workspaces',
  'models',
];

/** A record of any section, split into its address and its cells. */
export interface TableRecord {
  readonly section: TableSection;
  readonly address: readonly string[];
  readonly cells: ReadonlyMap<string, TableCellValue>;
}

/** Records by {@link recordKey}. */
export type TableRecords = ReadonlyMap<string, TableRecord>;

/**
 * Returns the key of a record, which is unique across all sections.
 *
 * @param section - Section of the record.
 * @param address - Address parts of the record.
 * @returns The key.
 */
export function recordKey(
  section: TableSection,
  address: readonly string[],
): string {
  return JSON.stringify([section, ...address]);
}

/**
 * Converts a table to records with cells, sorted by record key.
 *
 * Every record has a cell {@link RECORD_CELL}, which distinguishes an empty
 * record from an absent one.
 *
 * @param document - A table.
 * @returns The records; if several have the same address, the last one wins.
 */
export function toTableRecords(document: TableDocument): TableRecords {
  const records = TABLE_SECTIONS.flatMap((section) =>
    document[section].map((value) => toRecord(section, value)),
  );
  const entries = records.map(
    (record) => [recordKey(record.section, record.address), record] as const,
  );
  return new Map(entries.sort(([a], [b]) => (a < b ? -1 : a > b ? 1 : 0)));
}

function toRecord(section: TableSection, value: object): TableRecord {
  const fields = ADDRESS_FIELDS[section];
  const cells = new Map<string, TableCellValue>([[RECORD_CELL, true]]);
  Object.entries(value as Record<string, TableCellValue | undefined>).forEach(
    ([name, cell]) => {
      if (cell !== undefined && !fields.includes(name)) cells.set(name, cell);
    },
  );
  const fieldValues = value as Readonly<Record<string, unknown>>;
  return {
    section,
    address: fields.map((name) => String(fieldValues[name])),
    cells,
  };
}

/**
 * Converts records back to a table in canonical order.
 *
 * @param records - Records with their cells.
 * @returns The records' values by section, not yet validated.
 */
export function fromTableRecords(
  records: TableRecords,
): Record<TableSection, unknown[]> {
  const sorted = [...records.entries()].sort(([a], [b]) => (a < b ? -1 : 1));
  const inSection = (section: TableSection): unknown[] =>
    sorted
      .map(([, record]) => record)
      .filter((record) => record.section === section)
      .map(fromRecord);
  return {
    rows: inSection('rows'),
    workspaces: inSection('workspaces'),
    models: inSection('models'),
  };
}

/**
 * Converts a record to a plain object with its cells in canonical order.
 *
 * @param record - A record.
 * @returns The object, not yet validated.
 */
export function fromRecord(record: TableRecord): unknown {
  const fields = ADDRESS_FIELDS[record.section];
  const cells = [...record.cells]
    .filter(([name, value]) => name !== RECORD_CELL && value !== null)
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries([
    ...fields.map((field, index) => [field, record.address[index]] as const),
    ...cells,
  ]);
}

/**
 * Checks whether two cells have the same value.
 *
 * @param a - Value of a cell.
 * @param b - Value of a cell.
 * @returns Whether they are equal.
 */
export function isSameCell(a: TableCellValue, b: TableCellValue): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
