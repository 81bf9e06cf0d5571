import type { TableManifest } from '@endivegate/contracts';

/** Input of {@link findUnreferencedTableKeys}. */
export interface TableCollectionInput {
  /** Keys of chunks and roots, listed before the collector's own swap. */
  readonly listedKeys: readonly string[];
  /** The manifest after the collector's own compare-and-swap. */
  readonly manifest: TableManifest;
  /** Chunk keys by root key, for every root in the manifest that was read. */
  readonly chunkKeysByRoot: ReadonlyMap<string, readonly string[]>;
}

/**
 * Selects the chunks and roots that garbage collection may delete: those that
 * no version in the manifest references.
 *
 * Keys are unique per attempt of an edit, so an unreferenced key is never
 * referenced again. The exception is an edit in flight, which has written its
 * keys but not yet swapped the manifest. The collector therefore swaps the
 * manifest itself after it has listed the keys, so that the compare-and-swap
 * of such an edit fails and the edit writes new keys.
 *
 * @param collection - The listed keys and the references of the manifest.
 * @returns Keys to delete; none if a root could not be read.
 */
export function findUnreferencedTableKeys(
  collection: TableCollectionInput,
): readonly string[] {
  const { listedKeys, manifest, chunkKeysByRoot } = collection;
  const rootKeys = manifest.history.map(({ rootKey }) => rootKey);
  if (!rootKeys.every((key) => chunkKeysByRoot.has(key))) return [];
  const referencedKeys = new Set([
    ...rootKeys,
    ...rootKeys.flatMap((key) => chunkKeysByRoot.get(key) ?? []),
  ]);
  return listedKeys.filter((key) => !referencedKeys.has(key));
}
