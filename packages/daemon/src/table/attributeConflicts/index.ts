import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type {
  TableCellValue,
  TableConflict,
  TableVersion,
} from '@endivegate/contracts';
import {
  isSameCell,
  recordKey,
  toTableRecords,
  type TableRecords,
  type UnattributedConflict,
} from '@endivegate/core';
import {
  readSnapshot,
  type ReadTableError,
  type TableStore,
} from '../readTable/index.ts';

/** Author of a cell that was set before the kept history begins. */
export const UNKNOWN_AUTHOR = 'unknown';

/** Kept numbers that are searched for the author of a cell. */
const MAX_SEARCHED_NUMBERS = 50;

/**
 * Finds out who set the cells that conflict with an edit.
 *
 * Walks back through the history until each cell's last change is found.
 *
 * @param store - Where the table is kept.
 * @param history - Accepted numbers, oldest first.
 * @param conflicts - Conflicts with the newest number.
 * @param mineAuthor - Author of the edit.
 * @returns The conflicts with both authors.
 */
export function attributeConflicts(
  store: TableStore,
  history: readonly TableVersion[],
  conflicts: readonly UnattributedConflict[],
  mineAuthor: string,
): TE.TaskEither<ReadTableError, readonly TableConflict[]> {
  const searched = history.slice(-MAX_SEARCHED_NUMBERS).toReversed();
  const unknown = conflicts.map((conflict) => ({
    ...conflict,
    mineAuthor,
    theirsAuthor: UNKNOWN_AUTHOR,
  }));
  return pipe(
    readRecords(store, searched[0]),
    TE.chain((records) => walkBack({ store, searched }, records, unknown)),
  );
}

interface Walk {
  readonly store: TableStore;
  /** Numbers still to search, newest first. */
  readonly searched: readonly TableVersion[];
}

function walkBack(
  walk: Walk,
  records: TableRecords,
  conflicts: readonly TableConflict[],
): TE.TaskEither<ReadTableError, readonly TableConflict[]> {
  const [version, previous] = walk.searched;
  const isDone = conflicts.every(isAttributed);
  if (isDone || version === undefined) return TE.right(conflicts);
  const isFirst = previous === undefined && version.number > 1;
  if (isFirst) return TE.right(conflicts);
  return pipe(
    readRecords(walk.store, previous),
    TE.chain((older) =>
      walkBack(
        { ...walk, searched: walk.searched.slice(1) },
        older,
        conflicts.map((conflict) =>
          isAttributed(conflict) ||
          isSameCell(cellOf(records, conflict), cellOf(older, conflict))
            ? conflict
            : { ...conflict, theirsAuthor: version.author },
        ),
      ),
    ),
  );
}

function isAttributed(conflict: TableConflict): boolean {
  return conflict.theirsAuthor !== UNKNOWN_AUTHOR;
}

function readRecords(
  store: TableStore,
  version: TableVersion | undefined,
): TE.TaskEither<ReadTableError, TableRecords> {
  return pipe(
    readSnapshot(store, version),
    TE.map(({ document }) => toTableRecords(document)),
  );
}

function cellOf(
  records: TableRecords,
  { section, address, cell }: TableConflict,
): TableCellValue {
  return records.get(recordKey(section, address))?.cells.get(cell) ?? null;
}
