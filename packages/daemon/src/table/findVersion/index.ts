import * as TE from 'fp-ts/lib/TaskEither.js';
import type { TableVersion } from '@endivegate/contracts';
import type { ReadTableError, StoredManifest } from '../readTable/index.ts';

/**
 * Finds a version of the table in the history.
 *
 * @param stored - The manifest.
 * @param number - Version number; 0 stands for the empty table.
 * @returns The version (undefined for 0), or `unknownNumber` when the history
 *   does not contain it.
 */
export function findVersion(
  stored: StoredManifest,
  number: number,
): TE.TaskEither<ReadTableError, TableVersion | undefined> {
  if (number === 0) return TE.right(undefined);
  const version = stored.manifest?.history.find(
    (entry) => entry.number === number,
  );
  return version === undefined
    ? TE.left({ type: 'unknownNumber', number })
    : TE.right(version);
}
