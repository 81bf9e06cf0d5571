import { z } from 'zod';

const kvBlobSchema = z.strictObject({
  prefilledTokens: z.number().int().nonnegative(),
  prefixHashes: z.array(z.string()),
});

/** What an exported KV cache stands for. */
export type KvBlob = z.infer<typeof kvBlobSchema>;

/**
 * Encodes the stand-in of a KV cache.
 *
 * @param blob - What the cache holds.
 * @returns Its bytes.
 */
export function encodeKvBlob(blob: KvBlob): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(blob));
}

/**
 * Decodes the stand-in of a KV cache.
 *
 * @param bytes - Bytes from {@link encodeKvBlob}.
 * @returns What the cache holds, or `undefined` for other bytes.
 */
export function decodeKvBlob(bytes: Uint8Array): KvBlob | undefined {
  try {
    const parsed: unknown = JSON.parse(new TextDecoder().decode(bytes));
    return kvBlobSchema.safeParse(parsed).data;
  } catch {
    return undefined;
  }
}
