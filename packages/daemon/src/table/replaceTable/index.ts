import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { TableDocument } from '@endivegate/contracts';
import { diffTables } from '@endivegate/core';
import { changeTable } from '../changeTable/index.ts';
import type { EditTableError, TableEdit } from '../editTable/index.ts';
import { findVersion } from '../findVersion/index.ts';
import { readSnapshot, type TableStore } from '../readTable/index.ts';

/** A complete table that replaces an earlier version. */
export interface TableReplacement {
  /** Version number the operator started from; 0 for an empty table. */
  readonly baseNumber: number;
  readonly document: TableDocument;
  readonly author: string;
}

/**
 * Creates an edit that replaces the whole table.
 *
 * The difference from the base version is merged, cell by cell, with changes
 * that others made since that version.
 *
 * @param store - Store of the table.
 * @param replacement - The new table and its base version.
 * @returns The change function of a {@link TableEdit}.
 */
export function replaceTable(
  store: TableStore,
  replacement: TableReplacement,
): TableEdit['change'] {
  const { baseNumber, document, author } = replacement;
  return (current, stored) =>
    pipe(
      findVersion(stored, baseNumber),
      TE.chain((version) => readSnapshot(store, version)),
      TE.mapLeft((error): EditTableError => error),
      TE.chain((base) =>
        changeTable(
          store,
          diffTables(base.document, document),
          author,
        )(current, stored),
      ),
    );
}
