import { z } from 'zod';

/** Network address and location of an entry instance. */
export const entryAddressSchema = z.strictObject({
  entryId: z.string().min(1),
  /** Start time of the process in Unix milliseconds; larger for each later process
   * with the same entry id. */
  incarnation: z.number().int().nonnegative(),
  region: z.string().min(1),
  dataCentre: z.string().min(1),
  host: z.string().min(1),
  httpPort: z.number().int().min(0).max(65_535),
  peerPort: z.number().int().min(0).max(65_535),
});

/** Network address and location of an entry instance. */
export type EntryAddress = z.infer<typeof entryAddressSchema>;

/** A back end: a model engine or a plain service. */
export const targetSchema = z.strictObject({
  targetId: z.string().min(1),
  targetKind: z.enum(['engine', 'service']),
  url: z.url(),
  region: z.string().min(1),
  dataCentre: z.string().min(1),
  /** Models an engine serves, or the one service name of a plain service. */
  serves: z.array(z.string().min(1)),
  /** KV cache capacity of an engine, in tokens; 0 for a plain service. */
  kvCapacityTokens: z.number().int().nonnegative(),
  /** Whether the target refuses orders with an outdated fencing number. */
  checksFencing: z.boolean(),
  /** Whether a plain service supports lookups by idempotency key. */
  hasKeyLookup: z.boolean(),
  leaving: z.boolean(),
});

/** A back end: a model engine or a plain service. */
export type Target = z.infer<typeof targetSchema>;
