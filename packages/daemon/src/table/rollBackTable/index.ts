import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { EditTableError, TableEdit } from '../editTable/index.ts';
import { findVersion } from '../findVersion/index.ts';
import { readSnapshot, type TableStore } from '../readTable/index.ts';

/**
 * Creates an edit that restores the content of an older version as a new one.
 *
 * @param store - Store of the table.
 * @param number - Number of the version to restore.
 * @returns The change function of a {@link TableEdit}.
 */
export function rollBackTable(
  store: TableStore,
  number: number,
): TableEdit['change'] {
  return (_current, stored) =>
    pipe(
      findVersion(stored, number),
      TE.chain((version) => readSnapshot(store, version)),
      TE.bimap(
        (error): EditTableError => error,
        ({ document }) => document,
      ),
    );
}
