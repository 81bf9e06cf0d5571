import type { BlockPool } from '../blockPool/index.ts';

/** Collects the chunks of a text or body of limited length. */
export interface ByteCollector {
  /**
   * Adds a copy of a chunk. Returns false, and drops all bytes, when the limit is
   * exceeded.
   */
  readonly add: (chunk: Uint8Array) => boolean;
  /** Number of bytes added, without dropped ones. */
  readonly byteLength: () => number;
  /** Memory that is held for them, in bytes. */
  readonly heldBytes: () => number;
  /** All bytes; valid until the next call of `add`, and beyond `clear`. */
  readonly bytes: () => Uint8Array;
  /** Drops all bytes. */
  readonly clear: () => void;
}

/** Options of {@link collectBytes}. */
export interface CollectBytesOptions {
  readonly maxBytes: number;
  /** Where the blocks of a large body come from; they are allocated by default. */
  readonly blocks?: BlockPool;
}

/** Sizes of the first block, and of the largest one unless a chunk is larger. */
const MIN_BLOCK_BYTES = 4096;
const MAX_BLOCK_BYTES = 256 * 1024;

/**
 * Creates a collector of bytes. Chunks are copied into a few blocks, since a chunk of a
 * few bytes would keep the whole block in memory with which it was received.
 *
 * @param options - Limit.
 * @returns The collector.
 *
 * @example
 * const body = collectBytes({ maxBytes: 1000 });
 * if (!body.add(chunk)) connection.close();
 */
export function collectBytes(options: CollectBytesOptions): ByteCollector {
  const { maxBytes, blocks } = options;
  const maxBlockBytes = blocks?.blockBytes ?? MAX_BLOCK_BYTES;
  /** Blocks that belong to the pool; never handed out by `bytes`. */
  let lentBlocks: Uint8Array[] = [];
  let fullBlocks: Uint8Array[] = [];
  let fullBytes = 0;
  let block: Uint8Array = new Uint8Array(0);
  let blockLength = 0;
  let isExceeded = false;

  function beginBlock(neededBytes: number): void {
    if (blockLength > 0) fullBlocks.push(block);
    fullBytes += blockLength;
    const usualBytes = Math.min(
      Math.max(fullBytes, MIN_BLOCK_BYTES),
      maxBlockBytes,
      maxBytes - fullBytes,
    );
    const blockBytes = Math.max(neededBytes, usualBytes);
    block =
      blockBytes === maxBlockBytes ? borrowBlock() : new Uint8Array(blockBytes);
    blockLength = 0;
  }

  function borrowBlock(): Uint8Array {
    if (blocks === undefined) return new Uint8Array(maxBlockBytes);
    const lent = blocks.take();
    lentBlocks.push(lent);
    return lent;
  }

  function drop(): void {
    lentBlocks.forEach((lent) => blocks?.give(lent));
    lentBlocks = [];
    fullBlocks = [];
    fullBytes = 0;
    block = new Uint8Array(0);
    blockLength = 0;
  }

  function append(chunk: Uint8Array): void {
    block.set(chunk, blockLength);
    blockLength += chunk.length;
  }

  return {
    add(chunk) {
      if (isExceeded || fullBytes + blockLength + chunk.length > maxBytes) {
        isExceeded = true;
        drop();
        return false;
      }
      const freeBytes = block.length - blockLength;
      if (chunk.length <= freeBytes) {
        append(chunk);
        return true;
      }
      append(chunk.subarray(0, freeBytes));
      beginBlock(chunk.length - freeBytes);
      append(chunk.subarray(freeBytes));
      return true;
    },
    byteLength: () => fullBytes + blockLength,
    heldBytes: () => fullBytes + block.length,
    bytes() {
      const last = block.subarray(0, blockLength);
      if (fullBlocks.length + lentBlocks.length === 0) return last;
      const joined = new Uint8Array(fullBytes + blockLength);
      [...fullBlocks, last].reduce((offset, part) => {
        joined.set(part, offset);
        return offset + part.length;
      }, 0);
      drop();
      block = joined;
      blockLength = joined.length;
      return joined;
    },
    clear: drop,
  };
}
