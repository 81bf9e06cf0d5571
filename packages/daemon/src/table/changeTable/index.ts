import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { TableChange } from '@endivegate/contracts';
import { applyTableChanges } from '@endivegate/core';
import { attributeConflicts } from '../attributeConflicts/index.ts';
import type { EditTableError, TableEdit } from '../editTable/index.ts';
import type { TableStore } from '../readTable/index.ts';

/**
 * Creates an edit that changes individual cells.
 *
 * A cell that no longer has the value that the author saw is a conflict.
 *
 * @param store - Store of the table.
 * @param changes - The changed cells, with the values that the author saw.
 * @param author - Author of the changes.
 * @returns The change function of a {@link TableEdit}.
 */
export function changeTable(
  store: TableStore,
  changes: readonly TableChange[],
  author: string,
): TableEdit['change'] {
  return (current, { manifest }) =>
    pipe(
      applyTableChanges(current.document, changes),
      E.foldW(
        (conflicts) =>
          pipe(
            attributeConflicts(
              store,
              manifest?.history ?? [],
              conflicts,
              author,
            ),
            TE.mapLeft((error): EditTableError => error),
            TE.chain((attributed) =>
              TE.left<EditTableError>({
                type: 'conflicts',
                conflicts: attributed,
              }),
            ),
          ),
        (table) => TE.right(table),
      ),
    );
}
