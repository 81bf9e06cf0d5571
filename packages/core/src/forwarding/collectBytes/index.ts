/** Collects the chunks of a text or body of limited length. */
export interface ByteCollector {
  /**
   * Adds a copy of a chunk. Returns false, and drops all bytes, when the limit is
   * exceeded.
   */
  readonly add: (chunk: Uint8Array) => boolean;
  /** Number of bytes added, without dropped ones. */
  readonly byteLength: () => number;
  /** All bytes; valid until the next call of `add`. */
  readonly bytes: () => Uint8Array;
}

/** Options of {@link collectBytes}. */
export interface CollectBytesOptions {
  readonly maxBytes: number;
}

const INITIAL_BYTES = 4096;

const GROWTH_FACTOR = 2;

/**
 * Creates a collector of bytes. Chunks are copied into one buffer that grows as
 * needed, since a chunk of a few bytes would keep the whole block in memory with
 * which it was received.
 *
 * @param options - Limit.
 * @returns The collector.
 *
 * @example
 * const body = collectBytes({ maxBytes: 1000 });
 * if (!body.add(chunk)) connection.close();
 */
export function collectBytes({ maxBytes }: CollectBytesOptions): ByteCollector {
  let buffer = new Uint8Array(0);
  let length = 0;
  let isExceeded = false;

  function grow(neededBytes: number): void {
    const size = Math.max(
      neededBytes,
      Math.min(buffer.length * GROWTH_FACTOR, maxBytes),
      INITIAL_BYTES,
    );
    const larger = new Uint8Array(size);
    larger.set(buffer.subarray(0, length));
    buffer = larger;
  }

  return {
    add(chunk) {
      const neededBytes = length + chunk.length;
      if (isExceeded || neededBytes > maxBytes) {
        isExceeded = true;
        buffer = new Uint8Array(0);
        length = 0;
        return false;
      }
      if (neededBytes > buffer.length) grow(neededBytes);
      buffer.set(chunk, length);
      length = neededBytes;
      return true;
    },
    byteLength: () => length,
    bytes: () => buffer.subarray(0, length),
  };
}
