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

/** Accepted numbers between two collections. */
export const NUMBERS_PER_COLLECTION = 4;

const HEX_DIGITS = '0123456789abcdef';

/** Time allowed for one call of a collection. */
const CALL_TIMEOUT_MS = 5_000;

/**
 * Returns the part of the key space to collect after a number was accepted.
 *
 * Each collection covers one sixteenth of the keys, so that no listing is
 * large.
 *
 * @param number - The accepted number.
 * @returns The keys' prefix, or undefined when no collection is due.
 */
export function collectionPrefix(number: number): string | undefined {
  if (number % NUMBERS_PER_COLLECTION !== 0) return undefined;
  const shard = (number / NUMBERS_PER_COLLECTION) % HEX_DIGITS.length;
  return `${TABLE_CHUNK_PREFIX}${HEX_DIGITS.charAt(shard)}`;
}

/**
 * Deletes the chunks and roots below a prefix that no kept number names.
 *
 * @param store - Where the table is kept.
 * @param prefix - Part of the key space.
 * @returns Number of deleted values, or why the collection stopped.
 */
export function collectTable(
  store: TableStore,
  prefix: string,
): TE.TaskEither<ReadTableError, number> {
  const callOptions = { purpose: 'table', timeoutMs: CALL_TIMEOUT_MS } as const;
  return pipe(
    store.platform.list(prefix, callOptions),
    TE.mapLeft((error): ReadTableError => ({ type: 'store', error })),
    TE.bindTo('listed'),
    TE.bind('manifest', () => fenceManifest(store)),
    TE.bind('chunkKeysByRoot', ({ manifest }) => readRoots(store, manifest)),
    TE.chain(({ listed, manifest, chunkKeysByRoot }) => {
      const listedKeys = listed.map(({ key }) => key);
      const doomed = new Set(
        findUnreferencedTableKeys({ listedKeys, manifest, chunkKeysByRoot }),
      );
      return deleteValues(
        store,
        listed.filter(({ key }) => doomed.has(key)),
      );
    }),
  );
}

/** Swaps the manifest without a new number, so that older reads are stale. */
function fenceManifest(
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
      const fenced = { ...manifest, collections: manifest.collections + 1 };
      return pipe(
        store.platform.compareAndSwap(
          {
            key: TABLE_MANIFEST_KEY,
            value: JSON.stringify(fenced),
            expectedVersion: version,
          },
          { purpose: 'table', timeoutMs: CALL_TIMEOUT_MS },
        ),
        TE.bimap(
          (error): ReadTableError => ({ type: 'store', error }),
          () => fenced,
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
