import type { TableHead } from './loadTable.ts';

/** Immutable values of the table versions that this entry can serve. */
export interface TableCache {
  readonly head: () => TableHead | undefined;
  readonly get: (key: string) => string | undefined;
  /** Makes a version the head, unless the head is the same or newer. */
  readonly install: (
    head: TableHead,
    values: ReadonlyMap<string, string>,
  ) => void;
}

/**
 * Creates a cache of the newest table version and the one before it.
 *
 * The previous version is kept so that a peer that read the previous head
 * can still fetch its chunks.
 *
 * @returns The cache.
 */
export function createTableCache(): TableCache {
  let newest: TableHead | undefined;
  let newestValues: ReadonlyMap<string, string> = new Map();
  let previousValues: ReadonlyMap<string, string> = new Map();
  return {
    head: () => newest,
    get: (key) => newestValues.get(key) ?? previousValues.get(key),
    install: (head, values) => {
      if (newest && head.number <= newest.number) return;
      newest = head;
      previousValues = newestValues;
      newestValues = values;
    },
  };
}
