import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { TableDocument } from '@endivegate/contracts';
import { diffTables } from '@endivegate/core';
import { changeTable } from '../changeTable/index.ts';
import type { EditTableError, TableEdit } from '../editTable/index.ts';
import { findVersion } from '../findVersion/index.ts';
import { readSnapshot, type TableStore } from '../readTable/index.ts';

/** A whole table as an operator wants it. */
export interface TableReplacement {
  /** Number that the operator began from; 0 for an empty table. */
  readonly baseNumber: number;
  readonly document: TableDocument;
  readonly author: string;
}

/**
 * Makes an edit out of a whole table, merged by cell with what others changed
 * since its base.
 *
 * @param store - Where the table is kept.
 * @param replacement - The wanted table and its base.
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
