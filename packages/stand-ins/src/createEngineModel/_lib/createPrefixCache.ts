/** Least recently used cache of prefix blocks. */
export interface PrefixCache {
  /** Returns the length of the cached prefix in tokens, and marks it as used. */
  readonly match: (prefixHashes: readonly string[]) => number;
  readonly store: (prefixHashes: readonly string[]) => void;
  readonly clear: () => void;
}

/** Options of {@link createPrefixCache}. */
export interface CreatePrefixCacheOptions {
  readonly capacityTokens: number;
  /** Returns the number of tokens that the first `hashes` prefix hashes cover. */
  readonly prefixTokensOf: (hashes: number) => number;
  readonly onChange: (change: 'stored' | 'evicted', hash: string) => void;
}

interface Block {
  readonly hash: string;
  readonly tokens: number;
}

/**
 * Creates a prefix cache that evicts the least recently used block.
 *
 * @param options - Capacity, and a callback for every change.
 * @returns The cache.
 */
export function createPrefixCache(
  options: CreatePrefixCacheOptions,
): PrefixCache {
  const { capacityTokens, prefixTokensOf, onChange } = options;
  /** Tokens of each block, in order of use, least recent first. */
  const blocks = new Map<string, number>();
  let usedTokens = 0;

  function touch({ hash, tokens }: Block): void {
    blocks.delete(hash);
    blocks.set(hash, tokens);
  }

  function evictOldest(): void {
    const [oldest] = blocks;
    if (oldest === undefined) return;
    const [hash, tokens] = oldest;
    blocks.delete(hash);
    usedTokens -= tokens;
    onChange('evicted', hash);
  }

  function storeBlock(block: Block): void {
    const isNew = !blocks.has(block.hash);
    touch(block);
    if (!isNew) return;
    usedTokens += block.tokens;
    onChange('stored', block.hash);
    while (usedTokens > capacityTokens) evictOldest();
  }

  function toBlocks(prefixHashes: readonly string[]): readonly Block[] {
    return prefixHashes.map((hash, index) => ({
      hash,
      tokens: prefixTokensOf(index + 1) - prefixLength(index),
    }));
  }

  function prefixLength(hashes: number): number {
    return hashes === 0 ? 0 : prefixTokensOf(hashes);
  }

  return {
    match: (prefixHashes) => {
      const missAt = prefixHashes.findIndex((hash) => !blocks.has(hash));
      const matched =
        missAt === -1 ? prefixHashes : prefixHashes.slice(0, missAt);
      toBlocks(matched).toReversed().forEach(touch);
      return prefixLength(matched.length);
    },
    /** Stores the longest prefix first, so that it is evicted first. */
    store: (prefixHashes) => {
      const fitting = prefixHashes.filter(
        (_, index) => prefixTokensOf(index + 1) <= capacityTokens,
      );
      toBlocks(fitting).toReversed().forEach(storeBlock);
    },
    clear: () => {
      blocks.clear();
      usedTokens = 0;
    },
  };
}
