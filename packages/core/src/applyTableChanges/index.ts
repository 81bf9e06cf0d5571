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

/** A conflict whose authors have not been determined yet. */
export type UnattributedConflict = Omit<
  TableConflict,
  'mineAuthor' | 'theirsAuthor'
>;

/** Records of a table by section, not yet validated against the schema. */
export type UnvalidatedTable = Record<TableSection, unknown[]>;

/**
 * Applies an edit's cell changes to the current table.
 *
 * A change applies if its cell still has the value that the author saw, or
 * already has the new value. Every other change is a conflict, and a single
 * conflict rejects the whole edit. It is also a conflict if one side removes a
 * record that the other side changes.
 *
 * @param document - The current table.
 * @param changes - Changes of one edit.
 * @returns The changed table, not yet validated, or all conflicts.
 *
 * @example
 * applyTableChanges(current, diffTables(base, mine));
 */
export function applyTableChanges(
  document: TableDocument,
  changes: readonly TableChange[],
): E.Either<readonly UnattributedConflict[], UnvalidatedTable> {
  const records = toTableRecords(document);
  const changedRecords = withChanges(records, changes);
  const conflicts = [
    ...changes.flatMap((change) => findValueConflict(records, change)),
    ...findCellsOfRemovedRecords(changedRecords, changes),
    ...findChangesOfMissingRecords(records, changes),
  ];
  return conflicts.length > 0
    ? E.left(conflicts)
    : E.right(fromTableRecords(withoutRemoved(changedRecords)));
}

function withChanges(
  records: TableRecords,
  changes: readonly TableChange[],
): TableRecords {
  const next = new Map(records);
  changes.forEach((change) => {
    const key = recordKeyOf(change);
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

function findValueConflict(
  records: TableRecords,
  change: TableChange,
): readonly UnattributedConflict[] {
  const record = records.get(recordKey(change.section, change.address));
  const theirs = record?.cells.get(change.cell) ?? null;
  const applies =
    isSameCell(theirs, change.before) || isSameCell(theirs, change.after);
  return applies ? [] : [toConflict(change, theirs)];
}

/** Finds cells, set by other authors, of records that the edit removes. */
function findCellsOfRemovedRecords(
  next: TableRecords,
  changes: readonly TableChange[],
): readonly UnattributedConflict[] {
  return changes.filter(isRemoval).flatMap((change) => {
    const record = next.get(recordKey(change.section, change.address));
    return [...(record?.cells ?? [])].map(([cell, theirs]) =>
      toConflict({ ...change, cell, before: null, after: null }, theirs),
    );
  });
}

/** Finds changes to records that others removed, one conflict per record. */
function findChangesOfMissingRecords(
  records: TableRecords,
  changes: readonly TableChange[],
): readonly UnattributedConflict[] {
  const createdKeys = new Set(changes.filter(isCreation).map(recordKeyOf));
  const changesOfMissingRecords = changes.filter(
    (change) =>
      change.cell !== RECORD_CELL &&
      change.after !== null &&
      !records.has(recordKeyOf(change)) &&
      !createdKeys.has(recordKeyOf(change)),
  );
  const changeByRecord = new Map(
    changesOfMissingRecords.map(
      (change) => [recordKeyOf(change), change] as const,
    ),
  );
  return [...changeByRecord.values()].map((change) =>
    toConflict(
      { ...change, cell: RECORD_CELL, before: true, after: true },
      null,
    ),
  );
}

function withoutRemoved(records: TableRecords): TableRecords {
  return new Map(
    [...records].filter(([, { cells }]) => cells.has(RECORD_CELL)),
  );
}

function recordKeyOf(change: TableChange): string {
  return recordKey(change.section, change.address);
}

function isRemoval(change: TableChange): boolean {
  return change.cell === RECORD_CELL && change.after === null;
}

function isCreation(change: TableChange): boolean {
  return change.cell === RECORD_CELL && change.after === true;
}

function toConflict(
  change: TableChange,
  theirs: TableCellValue,
): UnattributedConflict {
  const { section, address, cell, before, after } = change;
  return { section, address, cell, before, mine: after, theirs };
}
