import * as E from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type { TableDocument } from '@endivegate/contracts';
import {
  isIntactTableValue,
  joinTable,
  readTableRoot,
  type TableValue,
} from '@endivegate/core';

/** A version number of the table and the key of the root that lists its chunks. */
export interface TableHead {
  readonly number: number;
  readonly rootKey: string;
}

/** A source that the table can be read from: the store or a peer. */
export interface TableSource {
  readonly head: TaskEither<unknown, TableHead | undefined>;
  readonly values: (
    keys: readonly string[],
  ) => TaskEither<unknown, readonly TableValue[]>;
}

/** Options of {@link loadTable}. */
export interface LoadTableOptions {
  /** Version number that the reader has; only newer versions are loaded. */
  readonly currentNumber: number;
  /** Highest version number that the reader has heard of. */
  readonly wantedNumber: number;
  /** Looks up a value that need not be read again. */
  readonly cached: (key: string) => string | undefined;
}

/** Outcome of {@link loadTable}. */
export type LoadTableOutcome =
  | {
      readonly type: 'loaded';
      readonly head: TableHead;
      readonly document: TableDocument;
      readonly values: ReadonlyMap<string, string>;
    }
  /** No source that answered has a newer version; `number` is the source's. */
  | { readonly type: 'nothingNew'; readonly number: number }
  | { readonly type: 'failed' };

/** Maximum number of keys requested from a source in one call. */
const MAX_KEYS_PER_CALL = 8;

/**
 * Loads a newer version of the table from the first source that has a
 * complete one.
 *
 * Stops early at a source that has no newer version but is up to date with
 * `wantedNumber`, unless that source has no table at all.
 *
 * @param sources - Sources in the order to try.
 * @param options - Version numbers and the cache of the reader.
 * @returns The newer table; `nothingNew` when no source has a newer one;
 *   `failed` when every source failed.
 */
export async function loadTable(
  sources: readonly TableSource[],
  options: LoadTableOptions,
): Promise<LoadTableOutcome> {
  let outcome: LoadTableOutcome = { type: 'failed' };
  for (const source of sources) {
    const next = await loadFromSource(source, options);
    if (next.type === 'loaded') return next;
    if (next.type === 'nothingNew') outcome = next;
    const isCurrent =
      next.type === 'nothingNew' && next.number >= options.wantedNumber;
    if (isCurrent && next.number > 0) return next;
  }
  return outcome;
}

async function loadFromSource(
  source: TableSource,
  options: LoadTableOptions,
): Promise<LoadTableOutcome> {
  const head = await source.head();
  if (E.isLeft(head)) return { type: 'failed' };
  const { number, rootKey } = head.right ?? { number: 0, rootKey: '' };
  if (number <= options.currentNumber) return { type: 'nothingNew', number };
  const root = await readValues(source, [rootKey], options.cached);
  const rootValue = root.get(rootKey);
  if (rootValue === undefined) return { type: 'failed' };
  const chunkKeys = readTableRoot({ key: rootKey, value: rootValue });
  if (E.isLeft(chunkKeys)) return { type: 'failed' };
  const chunks = await readValues(source, chunkKeys.right, options.cached);
  const document = joinTable(chunkKeys.right, chunks);
  if (E.isLeft(document)) return { type: 'failed' };
  return {
    type: 'loaded',
    head: { number, rootKey },
    document: document.right,
    values: new Map([...chunks, ...root]),
  };
}

async function readValues(
  source: TableSource,
  keys: readonly string[],
  cached: LoadTableOptions['cached'],
): Promise<ReadonlyMap<string, string>> {
  const values = new Map<string, string>();
  keys.forEach((key) => {
    const value = cached(key);
    if (value !== undefined) values.set(key, value);
  });
  const missing = keys.filter((key) => !values.has(key));
  for (let start = 0; start < missing.length; start += MAX_KEYS_PER_CALL) {
    const batch = missing.slice(start, start + MAX_KEYS_PER_CALL);
    const read = await source.values(batch)();
    if (E.isLeft(read)) return values;
    read.right
      .filter((entry) => isIntactTableValue(entry))
      .forEach(({ key, value }) => values.set(key, value));
  }
  return values;
}
