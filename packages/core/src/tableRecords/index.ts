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

/** Sections of a table in their fixed order. */
export const TABLE_SECTIONS: readonly TableSection[] = [
  'rows',
  'workspaces',
  'models',
];

/** A record of any section as its address and cells. */
export interface TableRecord {
  readonly section: TableSection;
  readonly address: readonly string[];
  readonly cells: ReadonlyMap<string, TableCellValue>;
}

/** Records by {@link recordKey}. */
export type TableRecords = ReadonlyMap<string, TableRecord>;

/**
 * Returns the key of a record, unique over all sections.
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
 * Returns a table's records with their cells, in order of their keys.
 *
 * Every record has a cell {@link RECORD_CELL}, so that an empty record differs
 * from an absent one.
 *
 * @param document - A table.
 * @returns The records; of two with one address the last stays.
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
  const named = value as Readonly<Record<string, unknown>>;
  return { section, address: fields.map((name) => String(named[name])), cells };
}

/**
 * Returns the table that records make up, in the canonical order.
 *
 * @param records - Records with their cells.
 * @returns The values by section; they are not yet checked against a schema.
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
 * Returns the value that a record stands for, its cells in canonical order.
 *
 * @param record - A record.
 * @returns The value; not yet checked against a schema.
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
 * Tells whether two cells hold the same value.
 *
 * @param a - Value of a cell.
 * @param b - Value of a cell.
 * @returns Whether they are equal.
 */
export function isSameCell(a: TableCellValue, b: TableCellValue): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
