import * as E from 'fp-ts/lib/Either.js';
import {
  RECORD_CELL,
  type TableCellValue,
  type TableChange,
  type TableConflict,
  type TableDocument,
  type TableSection,
} from '@endivegate/contracts';
import {
  fromTableRecords,
  isSameCell,
  recordKey,
  toTableRecords,
  type TableRecord,
  type TableRecords,
} from '../tableRecords/index.ts';

/** A conflict before it is known who set the other value. */
export type UnattributedConflict = Omit<
  TableConflict,
  'mineAuthor' | 'theirsAuthor'
>;

/** Values of a table by section, not yet checked against the schema. */
export type UnvalidatedTable = Record<TableSection, unknown[]>;

/**
 * Applies changes by cell to the table in force.
 *
 * A change applies when its cell still holds the value that its author saw,
 * or holds the wanted value already. All others are conflicts; with a single
 * one nothing is applied. A record that one side removes while the other
 * changes it is a conflict too.
 *
 * @param document - The table in force.
 * @param changes - Changes of one edit.
 * @returns The changed table, yet to be validated, or every conflict.
 *
 * @example
 * applyTableChanges(inForce, diffTables(base, mine));
 */
export function applyTableChanges(
  document: TableDocument,
  changes: readonly TableChange[],
): E.Either<readonly UnattributedConflict[], UnvalidatedTable> {
  const records = toTableRecords(document);
  const next = withChanges(records, changes);
  const conflicts = [
    ...changes.flatMap((change) => conflictOf(records, change)),
    ...leftOvers(next, changes),
    ...orphans(records, changes),
  ];
  return conflicts.length > 0
    ? E.left(conflicts)
    : E.right(fromTableRecords(withoutRemoved(next)));
}

function withChanges(
  records: TableRecords,
  changes: readonly TableChange[],
): TableRecords {
  const next = new Map(records);
  changes.forEach((change) => {
    const key = keyOf(change);
    next.set(key, withChange(next.get(key), change));
  });
  return next;
}

function withChange(
  record: TableRecord | undefined,
  change: TableChange,
): TableRecord {
  const { section, address, cell, after } = change;
  const cells = [...(record?.cells ?? [])].filter(([name]) => name !== cell);
  return {
    section,
    address,
    cells: new Map(after === null ? cells : [...cells, [cell, after]]),
  };
}

function conflictOf(
  records: TableRecords,
  change: TableChange,
): readonly UnattributedConflict[] {
  const record = records.get(recordKey(change.section, change.address));
  const theirs = record?.cells.get(change.cell) ?? null;
  const applies =
    isSameCell(theirs, change.before) || isSameCell(theirs, change.after);
  return applies ? [] : [conflict(change, theirs)];
}

/** Cells that others set in a record which the changes remove. */
function leftOvers(
  next: TableRecords,
  changes: readonly TableChange[],
): readonly UnattributedConflict[] {
  return changes.filter(isRemoval).flatMap((change) => {
    const record = next.get(recordKey(change.section, change.address));
    return [...(record?.cells ?? [])].map(([cell, theirs]) =>
      conflict({ ...change, cell, before: null, after: null }, theirs),
    );
  });
}

/** Changes of cells in a record that others removed. */
function orphans(
  records: TableRecords,
  changes: readonly TableChange[],
): readonly UnattributedConflict[] {
  const created = new Set(changes.filter(isCreation).map(keyOf));
  const orphaned = changes.filter(
    (change) =>
      change.cell !== RECORD_CELL &&
      change.after !== null &&
      !records.has(keyOf(change)) &&
      !created.has(keyOf(change)),
  );
  const firstOfEach = new Map(
    orphaned.map((change) => [keyOf(change), change] as const),
  );
  return [...firstOfEach.values()].map((change) =>
    conflict({ ...change, cell: RECORD_CELL, before: true, after: true }, null),
  );
}

function withoutRemoved(records: TableRecords): TableRecords {
  return new Map(
    [...records].filter(([, { cells }]) => cells.has(RECORD_CELL)),
  );
}

function keyOf(change: TableChange): string {
  return recordKey(change.section, change.address);
}

function isRemoval(change: TableChange): boolean {
  return change.cell === RECORD_CELL && change.after === null;
}

function isCreation(change: TableChange): boolean {
  return change.cell === RECORD_CELL && change.after === true;
}

function conflict(
  change: TableChange,
  theirs: TableCellValue,
): UnattributedConflict {
  const { section, address, cell, before, after } = change;
  return { section, address, cell, before, mine: after, theirs };
}
