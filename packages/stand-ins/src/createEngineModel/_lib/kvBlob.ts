import { z } from 'zod';

const kvBlobSchema = z.strictObject({
  prefilledTokens: z.number().int().nonnegative(),
  prefixHashes: z.array(z.string()),
});

/** Simulated content of an exported KV cache. */
export type KvBlob = z.infer<typeof kvBlobSchema>;

/**
 * Encodes a simulated KV cache.
 *
 * @param blob - Content of the cache.
 * @returns The encoded bytes.
 */
export function encodeKvBlob(blob: KvBlob): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(blob));
}

/**
 * Decodes a simulated KV cache.
 *
 * @param bytes - Bytes from {@link encodeKvBlob}.
 * @returns The content of the cache, or `undefined` for other bytes.
 */
export function decodeKvBlob(bytes: Uint8Array): KvBlob | undefined {
  try {
    const parsed: unknown = JSON.parse(new TextDecoder().decode(bytes));
    return kvBlobSchema.safeParse(parsed).data;
  } catch {
    return undefined;
  }
}
