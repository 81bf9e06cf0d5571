import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as O from 'fp-ts/lib/Option.js';
import * as A from 'fp-ts/lib/ReadonlyArray.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import {
  TABLE_MANIFEST_KEY,
  tableManifestSchema,
  type PlatformError,
  type PlatformPort,
  type TableDocument,
  type TableManifest,
  type TableVersion,
} from '@endivegate/contracts';
import { joinTable, readTableRoot } from '@endivegate/core';

/** The platform that stores the table, and a cache of immutable values. */
export interface TableStore {
  readonly platform: PlatformPort;
  /** Looks up a value that need not be read again. */
  readonly cached: (key: string) => string | undefined;
  /** Timeout of one call. */
  readonly timeoutMs?: number;
}

/** Why a table could not be read. */
export type ReadTableError =
  | { readonly type: 'store'; readonly error: PlatformError }
  /** A value is missing, malformed or does not match the hash in its key. */
  | { readonly type: 'damaged'; readonly key: string }
  /** The history does not contain this version. */
  | { readonly type: 'unknownNumber'; readonly number: number };

/** The manifest and its version in the store, for a compare-and-swap. */
export interface StoredManifest {
  readonly version: number;
  /** Undefined until a first table is accepted. */
  readonly manifest: TableManifest | undefined;
}

/** One version of the table. */
export interface TableSnapshot {
  readonly number: number;
  readonly document: TableDocument;
  readonly chunkKeys: readonly string[];
}

const DEFAULT_TIMEOUT_MS = 3_000;

const EMPTY_SNAPSHOT: TableSnapshot = {
  number: 0,
  document: { rows: [], workspaces: [], models: [] },
  chunkKeys: [],
};

/**
 * Reads the manifest of the table.
 *
 * @param store - Store of the table.
 * @returns The manifest and its version in the store, or the error.
 */
export function readManifest(
  store: TableStore,
): TE.TaskEither<ReadTableError, StoredManifest> {
  return pipe(
    readStoreValue(store, TABLE_MANIFEST_KEY),
    TE.chainEitherKW((entry) => {
      if (entry === undefined) {
        return E.right({ version: 0, manifest: undefined });
      }
      const parsed = tableManifestSchema.safeParse(parseJson(entry.value));
      return parsed.success
        ? E.right({ version: entry.version, manifest: parsed.data })
        : E.left(damaged(TABLE_MANIFEST_KEY));
    }),
  );
}

/**
 * Reads one version of the table.
 *
 * @param store - Store of the table.
 * @param version - Version from the history; undefined gives an empty table.
 * @returns The complete table of that version, or the error.
 */
export function readSnapshot(
  store: TableStore,
  version: TableVersion | undefined,
): TE.TaskEither<ReadTableError, TableSnapshot> {
  if (version === undefined) return TE.right(EMPTY_SNAPSHOT);
  return pipe(
    readChunkKeys(store, version.rootKey),
    TE.chain((chunkKeys) =>
      pipe(
        chunkKeys,
        A.traverse(TE.ApplicativePar)((key) =>
          pipe(
            readImmutableValue(store, key),
            TE.map((value) => [key, value] as const),
          ),
        ),
        TE.chainEitherKW((values) =>
          pipe(
            joinTable(chunkKeys, new Map(values)),
            E.mapLeft((error) =>
              damaged(error.type === 'damaged' ? error.key : version.rootKey),
            ),
          ),
        ),
        TE.map((document) => ({ number: version.number, document, chunkKeys })),
      ),
    ),
  );
}

/**
 * Reads the chunk keys that a root lists.
 *
 * @param store - Store of the table.
 * @param rootKey - Key of the root.
 * @returns The chunk keys, or the error.
 */
export function readChunkKeys(
  store: TableStore,
  rootKey: string,
): TE.TaskEither<ReadTableError, readonly string[]> {
  return pipe(
    readImmutableValue(store, rootKey),
    TE.chainEitherKW((value) =>
      pipe(
        readTableRoot({ key: rootKey, value }),
        E.mapLeft(() => damaged(rootKey)),
      ),
    ),
  );
}

function readImmutableValue(
  store: TableStore,
  key: string,
): TE.TaskEither<ReadTableError, string> {
  const cached = store.cached(key);
  if (cached !== undefined) return TE.right(cached);
  return pipe(
    readStoreValue(store, key),
    TE.chainW((entry) =>
      entry === undefined ? TE.left(damaged(key)) : TE.right(entry.value),
    ),
  );
}

function readStoreValue(
  store: TableStore,
  key: string,
): TE.TaskEither<
  ReadTableError,
  { readonly value: string; readonly version: number } | undefined
> {
  const timeoutMs = store.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  return pipe(
    store.platform.get(key, { purpose: 'table', timeoutMs }),
    TE.mapLeft((error): ReadTableError => ({ type: 'store', error })),
  );
}

function damaged(key: string): ReadTableError {
  return { type: 'damaged', key };
}

function parseJson(text: string): unknown {
  return O.toUndefined(O.tryCatch(() => JSON.parse(text) as unknown));
}
