import { pipe } from 'fp-ts/lib/function.js';
import * as A from 'fp-ts/lib/ReadonlyArray.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import {
  TABLE_CHUNK_PREFIX,
  TABLE_MANIFEST_KEY,
  type KeyValue,
  type TableManifest,
} from '@endivegate/contracts';
import { findUnreferencedTableKeys } from '@endivegate/core';
import {
  readChunkKeys,
  readManifest,
  type ReadTableError,
  type TableStore,
} from '../readTable/index.ts';

/** Accepted versions between two garbage collections. */
export const VERSIONS_PER_COLLECTION = 4;

const HEX_DIGITS = '0123456789abcdef';

/** Timeout of one store call of a garbage collection. */
const CALL_TIMEOUT_MS = 5_000;

/**
 * Returns the part of the key space to garbage-collect after a version was
 * accepted.
 *
 * Each collection covers one sixteenth of the keys, to keep listings small.
 *
 * @param number - The accepted version number.
 * @returns The key prefix, or undefined when no collection is due.
 */
export function dueCollectionPrefix(number: number): string | undefined {
  if (number % VERSIONS_PER_COLLECTION !== 0) return undefined;
  const shard = (number / VERSIONS_PER_COLLECTION) % HEX_DIGITS.length;
  return `${TABLE_CHUNK_PREFIX}${HEX_DIGITS.charAt(shard)}`;
}

/**
 * Deletes the chunks and roots with a key prefix that no version in the
 * history refers to.
 *
 * @param store - Store of the table.
 * @param prefix - Key prefix.
 * @returns Number of deleted values, or the error that stopped the collection.
 */
export function collectTableGarbage(
  store: TableStore,
  prefix: string,
): TE.TaskEither<ReadTableError, number> {
  const callOptions = { purpose: 'table', timeoutMs: CALL_TIMEOUT_MS } as const;
  return pipe(
    store.platform.list(prefix, callOptions),
    TE.mapLeft((error): ReadTableError => ({ type: 'store', error })),
    TE.bindTo('listed'),
    TE.bind('manifest', () => bumpManifestVersion(store)),
    TE.bind('chunkKeysByRoot', ({ manifest }) => readRoots(store, manifest)),
    TE.chain(({ listed, manifest, chunkKeysByRoot }) => {
      const listedKeys = listed.map(({ key }) => key);
      const garbageKeys = new Set(
        findUnreferencedTableKeys({ listedKeys, manifest, chunkKeysByRoot }),
      );
      return deleteValues(
        store,
        listed.filter(({ key }) => garbageKeys.has(key)),
      );
    }),
  );
}

/**
 * Swaps the manifest without adding a table version.
 *
 * A concurrent edit that read the manifest earlier fails its swap, and so
 * cannot refer to chunks that this collection deletes.
 */
function bumpManifestVersion(
  store: TableStore,
): TE.TaskEither<ReadTableError, TableManifest> {
  return pipe(
    readManifest(store),
    TE.chain(({ version, manifest }) => {
      if (manifest === undefined) {
        return TE.left<ReadTableError>({
          type: 'damaged',
          key: TABLE_MANIFEST_KEY,
        });
      }
      const bumped = { ...manifest, collections: manifest.collections + 1 };
      return pipe(
        store.platform.compareAndSwap(
          {
            key: TABLE_MANIFEST_KEY,
            value: JSON.stringify(bumped),
            expectedVersion: version,
          },
          { purpose: 'table', timeoutMs: CALL_TIMEOUT_MS },
        ),
        TE.bimap(
          (error): ReadTableError => ({ type: 'store', error }),
          () => bumped,
        ),
      );
    }),
  );
}

function readRoots(
  store: TableStore,
  manifest: TableManifest,
): TE.TaskEither<ReadTableError, ReadonlyMap<string, readonly string[]>> {
  return pipe(
    manifest.history,
    A.traverse(TE.ApplicativeSeq)(({ rootKey }) =>
      pipe(
        readChunkKeys(store, rootKey),
        TE.map((chunkKeys) => [rootKey, chunkKeys] as const),
      ),
    ),
    TE.map((entries) => new Map(entries)),
  );
}

function deleteValues(
  store: TableStore,
  entries: readonly KeyValue[],
): TE.TaskEither<ReadTableError, number> {
  return pipe(
    entries,
    A.traverse(TE.ApplicativeSeq)(({ key, version }) =>
      store.platform.compareAndDelete(
        { key, expectedVersion: version },
        { purpose: 'table', timeoutMs: CALL_TIMEOUT_MS },
      ),
    ),
    TE.bimap(
      (error): ReadTableError => ({ type: 'store', error }),
      (deleted) => deleted.length,
    ),
  );
}
