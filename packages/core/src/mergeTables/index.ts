import type * as E from 'fp-ts/lib/Either.js';
import type { TableDocument } from '@endivegate/contracts';
import {
  applyTableChanges,
  type UnattributedConflict,
  type UnvalidatedTable,
} from '../applyTableChanges/index.ts';
import { diffTables } from '../diffTables/index.ts';

/** The three sides of a merge. */
export interface TableMerge {
  /** The table that the operator began from. */
  readonly base: TableDocument;
  /** The operator's table. */
  readonly mine: TableDocument;
  /** The table in force by now. */
  readonly theirs: TableDocument;
}

/**
 * Merges two tables that grew out of one, cell by cell.
 *
 * @param merge - The base and both sides.
 * @returns The merged table, yet to be validated, or every conflict.
 *
 * @example
 * mergeTables({ base, mine, theirs });
 */
export function mergeTables(
  merge: TableMerge,
): E.Either<readonly UnattributedConflict[], UnvalidatedTable> {
  return applyTableChanges(merge.theirs, diffTables(merge.base, merge.mine));
}
