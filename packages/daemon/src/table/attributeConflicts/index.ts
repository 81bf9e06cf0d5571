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

/** Author of a cell that was last set before the history begins. */
export const UNKNOWN_AUTHOR = 'unknown';

/** Maximum number of versions searched for the author of a cell. */
const MAX_SEARCHED_VERSIONS = 50;

/**
 * Finds the authors of the cell values that conflict with an edit.
 *
 * Searches the history backwards until the last change of each cell is found.
 *
 * @param store - Store of the table.
 * @param history - Accepted versions, oldest first.
 * @param conflicts - Conflicts with the newest version.
 * @param mineAuthor - Author of the edit.
 * @returns The conflicts with both authors, or the error of a read.
 */
export function attributeConflicts(
  store: TableStore,
  history: readonly TableVersion[],
  conflicts: readonly UnattributedConflict[],
  mineAuthor: string,
): TE.TaskEither<ReadTableError, readonly TableConflict[]> {
  const versions = history.slice(-MAX_SEARCHED_VERSIONS).toReversed();
  const unattributed = conflicts.map((conflict) => ({
    ...conflict,
    mineAuthor,
    theirsAuthor: UNKNOWN_AUTHOR,
  }));
  return pipe(
    readRecords(store, versions[0]),
    TE.chain((records) =>
      searchHistory({ store, versions }, records, unattributed),
    ),
  );
}

interface HistorySearch {
  readonly store: TableStore;
  /** Versions still to search, newest first. */
  readonly versions: readonly TableVersion[];
}

function searchHistory(
  search: HistorySearch,
  records: TableRecords,
  conflicts: readonly TableConflict[],
): TE.TaskEither<ReadTableError, readonly TableConflict[]> {
  const [version, previous] = search.versions;
  const isDone = conflicts.every(isAttributed);
  if (isDone || version === undefined) return TE.right(conflicts);
  const isFirst = previous === undefined && version.number > 1;
  if (isFirst) return TE.right(conflicts);
  return pipe(
    readRecords(search.store, previous),
    TE.chain((older) =>
      searchHistory(
        { ...search, versions: search.versions.slice(1) },
        older,
        conflicts.map((conflict) =>
          isAttributed(conflict) ||
          isSameCell(
            cellValueOf(records, conflict),
            cellValueOf(older, conflict),
          )
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

function cellValueOf(
  records: TableRecords,
  { section, address, cell }: TableConflict,
): TableCellValue {
  return records.get(recordKey(section, address))?.cells.get(cell) ?? null;
}
