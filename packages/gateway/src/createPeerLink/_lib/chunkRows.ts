import { encode } from '@msgpack/msgpack';

/** Keeps the rows of a message, with the rest of it, within one network packet. */
const MAX_BYTES = 1000;

/** Options of {@link chunkRows}. */
export interface ChunkRowsOptions {
  /** Most rows of a chunk. */
  readonly maxRows: number;
  /** Most bytes of a chunk; 1,000 by default. */
  readonly maxBytes?: number;
}

/**
 * Divides rows into chunks for messages of their own. A row that is larger than a chunk
 * has one to itself, so that none is left out.
 *
 * @param rows - Rows as they are encoded, in order.
 * @param options - Limits of a chunk.
 * @returns The chunks; none if there are no rows.
 */
export function chunkRows<T>(
  rows: readonly T[],
  options: ChunkRowsOptions,
): readonly T[][] {
  const { maxRows, maxBytes = MAX_BYTES } = options;
  const chunks: T[][] = [];
  let leftBytes = 0;
  rows.forEach((row) => {
    const bytes = encode(row).length;
    const last = chunks.at(-1);
    if (last === undefined || last.length >= maxRows || bytes > leftBytes) {
      chunks.push([row]);
      leftBytes = maxBytes - bytes;
    } else {
      last.push(row);
      leftBytes -= bytes;
    }
  });
  return chunks;
}
