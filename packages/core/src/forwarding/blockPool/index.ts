/** Blocks of memory that are used again instead of being left to the collector. */
export interface BlockPool {
  /** Size of each block. */
  readonly blockBytes: number;
  /** Returns a block, whose contents are undefined. */
  readonly take: () => Uint8Array;
  /** Takes back a block that nothing refers to any more. */
  readonly give: (block: Uint8Array) => void;
  /** Leaves all unused blocks to the collector. */
  readonly clear: () => void;
  readonly unusedBytes: () => number;
}

/** Options of {@link createBlockPool}. */
export interface CreateBlockPoolOptions {
  /** Size of a block; 256 KiB by default. */
  readonly blockBytes?: number;
  /** Unused blocks that are kept. */
  readonly maxUnusedBytes: number;
}

const BLOCK_BYTES = 256 * 1024;

/**
 * Creates a pool of blocks. Buffers lie outside the heap, and the collector runs only once
 * tens of megabytes of them are unused: blocks that are used for a moment each would take
 * that on top of those in use.
 *
 * @param options - Sizes.
 * @returns The pool, without blocks.
 *
 * @example
 * const blocks = createBlockPool({ maxUnusedBytes: 16_000_000 });
 * blocks.give(blocks.take());
 */
export function createBlockPool(options: CreateBlockPoolOptions): BlockPool {
  const { blockBytes = BLOCK_BYTES, maxUnusedBytes } = options;
  const unused: Uint8Array[] = [];
  return {
    blockBytes,
    take: () => unused.pop() ?? new Uint8Array(blockBytes),
    give(block) {
      const hasRoom = (unused.length + 1) * blockBytes <= maxUnusedBytes;
      if (hasRoom) unused.push(block);
    },
    clear() {
      unused.length = 0;
    },
    unusedBytes: () => unused.length * blockBytes,
  };
}
