import type * as E from 'fp-ts/lib/Either.js';
import type { TableDocument } from '@endivegate/contracts';
import {
  applyTableChanges,
  type UnattributedConflict,
  type UnvalidatedTable,
} from '../applyTableChanges/index.ts';
import { diffTables } from '../diffTables/index.ts';

/** The three versions of a three-way merge. */
export interface TableMerge {
  /** The common ancestor, from which the operator started editing. */
  readonly base: TableDocument;
  /** The operator's edited table. */
  readonly mine: TableDocument;
  /** The current table, which may contain changes by others. */
  readonly theirs: TableDocument;
}

/**
 * Performs a three-way merge of two tables, cell by cell.
 *
 * @param merge - The common ancestor and both descendants.
 * @returns The merged table, not yet validated, or all conflicts.
 *
 * @example
 * mergeTables({ base, mine, theirs });
 */
export function mergeTables(
  merge: TableMerge,
): E.Either<readonly UnattributedConflict[], UnvalidatedTable> {
  return applyTableChanges(merge.theirs, diffTables(merge.base, merge.mine));
}
