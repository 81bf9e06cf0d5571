/** Least recently used cache of prefix blocks. */
export interface PrefixCache {
  /** Returns how many leading blocks are cached, and marks them as used. */
  readonly match: (prefixHashes: readonly string[]) => number;
  readonly store: (prefixHashes: readonly string[]) => void;
  readonly clear: () => void;
}

/** Options of {@link createPrefixCache}. */
export interface CreatePrefixCacheOptions {
  readonly capacityBlocks: number;
  readonly onChange: (change: 'stored' | 'evicted', hash: string) => void;
}

/**
 * Creates a prefix cache that evicts the least recently used block.
 *
 * @param options - Size, and a function told of every change.
 * @returns The cache.
 */
export function createPrefixCache(
  options: CreatePrefixCacheOptions,
): PrefixCache {
  /** Blocks in order of use, least recent first. */
  const blocks = new Set<string>();

  function touch(hash: string): void {
    blocks.delete(hash);
    blocks.add(hash);
  }

  function evictOldest(): void {
    const [oldest] = blocks;
    if (oldest === undefined) return;
    blocks.delete(oldest);
    options.onChange('evicted', oldest);
  }

  function storeBlock(hash: string): void {
    const isNew = !blocks.has(hash);
    touch(hash);
    if (!isNew) return;
    options.onChange('stored', hash);
    if (blocks.size > options.capacityBlocks) evictOldest();
  }

  return {
    match: (prefixHashes) => {
      const missAt = prefixHashes.findIndex((hash) => !blocks.has(hash));
      const matched =
        missAt === -1 ? prefixHashes : prefixHashes.slice(0, missAt);
      matched.toReversed().forEach(touch);
      return matched.length;
    },
    /** Stores the longest prefix first, so that it is evicted first. */
    store: (prefixHashes) => {
      prefixHashes
        .slice(0, options.capacityBlocks)
        .toReversed()
        .forEach(storeBlock);
    },
    clear: () => {
      blocks.clear();
    },
  };
}
