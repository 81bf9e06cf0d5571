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
  /** All bytes; valid until the next call of `add`. */
  readonly bytes: () => Uint8Array;
}

/** Options of {@link collectBytes}. */
export interface CollectBytesOptions {
  readonly maxBytes: number;
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
export function collectBytes({ maxBytes }: CollectBytesOptions): ByteCollector {
  let fullBlocks: Uint8Array[] = [];
  let fullBytes = 0;
  let block = new Uint8Array(0);
  let blockLength = 0;
  let isExceeded = false;

  function beginBlock(neededBytes: number): void {
    if (blockLength > 0) fullBlocks.push(block);
    fullBytes += blockLength;
    const usualBytes = Math.min(
      Math.max(fullBytes, MIN_BLOCK_BYTES),
      MAX_BLOCK_BYTES,
      maxBytes - fullBytes,
    );
    block = new Uint8Array(Math.max(neededBytes, usualBytes));
    blockLength = 0;
  }

  function drop(): void {
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
      if (fullBlocks.length === 0) return last;
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
  };
}
