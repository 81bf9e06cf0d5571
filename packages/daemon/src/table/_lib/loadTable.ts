import * as E from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type { TableDocument } from '@endivegate/contracts';
import {
  isIntactTableValue,
  joinTable,
  readTableRoot,
  type TableValue,
} from '@endivegate/core';

/** A number of the table and the root that names its chunks. */
export interface TableHead {
  readonly number: number;
  readonly rootKey: string;
}

/** Somewhere a table can be read from: the store or a peer. */
export interface TableSource {
  readonly head: TaskEither<unknown, TableHead | undefined>;
  readonly values: (
    keys: readonly string[],
  ) => TaskEither<unknown, readonly TableValue[]>;
}

/** What the reader has and wants. */
export interface LoadTableOptions {
  readonly currentNumber: number;
  readonly wantedNumber: number;
  /** Values that need not be read again. */
  readonly cached: (key: string) => string | undefined;
}

/** Outcome of a load. */
export type LoadTableOutcome =
  | {
      readonly type: 'loaded';
      readonly head: TableHead;
      readonly document: TableDocument;
      readonly values: ReadonlyMap<string, string>;
    }
  | { readonly type: 'nothingNew'; readonly number: number }
  | { readonly type: 'failed' };

/** Keys asked of a source in one call. */
const KEYS_PER_CALL = 8;

/**
 * Reads a newer number from the first source that holds one whole.
 *
 * @param sources - Sources in the order to try.
 * @param options - What the reader has and wants.
 * @returns The newer table, that there is none, or that no source answered.
 */
export async function loadTable(
  sources: readonly TableSource[],
  options: LoadTableOptions,
): Promise<LoadTableOutcome> {
  let outcome: LoadTableOutcome = { type: 'failed' };
  for (const source of sources) {
    const next = await loadFrom(source, options);
    if (next.type === 'loaded') return next;
    if (next.type === 'nothingNew') outcome = next;
    const isCurrent =
      next.type === 'nothingNew' && next.number >= options.wantedNumber;
    if (isCurrent && next.number > 0) return next;
  }
  return outcome;
}

async function loadFrom(
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
  for (let start = 0; start < missing.length; start += KEYS_PER_CALL) {
    const batch = missing.slice(start, start + KEYS_PER_CALL);
    const read = await source.values(batch)();
    if (E.isLeft(read)) return values;
    read.right
      .filter((entry) => isIntactTableValue(entry))
      .forEach(({ key, value }) => values.set(key, value));
  }
  return values;
}
