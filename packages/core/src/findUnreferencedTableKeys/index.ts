import type { TableManifest } from '@endivegate/contracts';

/** What a collection decides from. */
export interface TableCollection {
  /** Keys of chunks and roots, listed before the manifest was fenced. */
  readonly listedKeys: readonly string[];
  /** The manifest as the collector's own compare-and-swap left it. */
  readonly manifest: TableManifest;
  /** Chunk keys by root key, for each root of the manifest. */
  readonly chunkKeysByRoot: ReadonlyMap<string, readonly string[]>;
}

/**
 * Picks the chunks and roots that no kept number names.
 *
 * Keys are unique per try of an edit, so a key that no kept number names is
 * never named again. An edit under way may name keys that it wrote before its
 * compare-and-swap; the collector's own swap of the manifest, made after the
 * keys were listed, makes such an edit fail and write new keys.
 *
 * @param collection - The listed keys and what the manifest names.
 * @returns Keys to delete; none when a root could not be read.
 */
export function findUnreferencedTableKeys(
  collection: TableCollection,
): readonly string[] {
  const { listedKeys, manifest, chunkKeysByRoot } = collection;
  const rootKeys = manifest.history.map(({ rootKey }) => rootKey);
  if (!rootKeys.every((key) => chunkKeysByRoot.has(key))) return [];
  const named = new Set([
    ...rootKeys,
    ...rootKeys.flatMap((key) => chunkKeysByRoot.get(key) ?? []),
  ]);
  return listedKeys.filter((key) => !named.has(key));
}
