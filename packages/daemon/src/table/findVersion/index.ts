import * as TE from 'fp-ts/lib/TaskEither.js';
import type { TableVersion } from '@endivegate/contracts';
import type { ReadTableError, StoredManifest } from '../readTable/index.ts';

/**
 * Finds a number in the kept history.
 *
 * @param stored - The manifest as read.
 * @param number - The number to find; 0 stands for the empty table.
 * @returns The number's version (undefined for 0), or that it is not kept.
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
