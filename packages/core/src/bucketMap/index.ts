/** Number of buckets in a {@link BucketMap}; an update copies one of them. */
const BUCKET_COUNT = 256;

type Bucket<V> = ReadonlyMap<string, V>;

/**
 * A persistent (immutable) map for thousands of entries.
 *
 * An update copies one bucket and the list of buckets instead of all entries.
 */
export interface BucketMap<V> {
  readonly size: number;
  readonly buckets: readonly Bucket<V>[];
}

const emptyBucket: Bucket<never> = new Map<string, never>();

const emptyMap: BucketMap<never> = {
  size: 0,
  buckets: Array.from({ length: BUCKET_COUNT }, () => emptyBucket),
};

/**
 * Returns an empty map.
 *
 * @returns The empty map.
 */
export function emptyBucketMap<V>(): BucketMap<V> {
  return emptyMap;
}

/**
 * Looks up a key.
 *
 * @param map - The map.
 * @param key - The key.
 * @returns The value, or undefined when the key is absent.
 */
export function getEntry<V>(map: BucketMap<V>, key: string): V | undefined {
  return map.buckets[bucketIndexOf(key)]?.get(key);
}

/**
 * Returns a map with a key set to a value.
 *
 * @param map - The map; not modified.
 * @param key - The key.
 * @param value - The value.
 * @returns The changed map.
 *
 * @example
 * const open = setEntry(emptyBucketMap<number>(), 'r1', 1);
 */
export function setEntry<V>(
  map: BucketMap<V>,
  key: string,
  value: V,
): BucketMap<V> {
  const index = bucketIndexOf(key);
  const bucket = new Map(map.buckets[index]);
  const addedCount = bucket.has(key) ? 0 : 1;
  bucket.set(key, value);
  return replaceBucket(map, { index, bucket, size: map.size + addedCount });
}

/**
 * Returns a map with a key removed.
 *
 * @param map - The map; not modified.
 * @param key - The key to remove.
 * @returns The changed map, or the same map when the key is absent.
 */
export function deleteEntry<V>(map: BucketMap<V>, key: string): BucketMap<V> {
  const index = bucketIndexOf(key);
  if (!map.buckets[index]?.has(key)) return map;
  const bucket = new Map(map.buckets[index]);
  bucket.delete(key);
  return replaceBucket(map, { index, bucket, size: map.size - 1 });
}

/**
 * Lists all values.
 *
 * @param map - The map.
 * @returns Its values, bucket by bucket.
 */
export function bucketValues<V>(map: BucketMap<V>): readonly V[] {
  const values: V[] = [];
  if (map.size === 0) return values;
  // Hot path: runs over all open requests on every clock tick, ten a second.
  for (const bucket of map.buckets) {
    for (const value of bucket.values()) values.push(value);
  }
  return values;
}

function replaceBucket<V>(
  map: BucketMap<V>,
  change: {
    readonly index: number;
    readonly bucket: Bucket<V>;
    readonly size: number;
  },
): BucketMap<V> {
  const buckets = map.buckets.slice();
  buckets[change.index] = change.bucket;
  return { size: change.size, buckets };
}

function bucketIndexOf(key: string): number {
  let hash = 0;
  for (let i = 0; i < key.length; i += 1) {
    hash = (Math.imul(hash, 31) + key.charCodeAt(i)) | 0;
  }
  return (hash ^ (hash >>> 8) ^ (hash >>> 16)) & (BUCKET_COUNT - 1);
}
