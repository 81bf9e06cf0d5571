import { z } from 'zod';

/** Header with the idempotency key of a call to a plain service. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Path prefix under which a plain service serves lookups by idempotency key. */
export const KEY_LOOKUP_PATH = '/.keys/';

/** Response to a lookup by idempotency key. */
export const keyLookupSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('absent') }),
  z.object({ type: z.literal('running') }),
  z.object({
    type: z.literal('done'),
    attemptId: z.string(),
    status: z.number().int(),
    contentType: z.string(),
    bodyBase64: z.string(),
  }),
]);

/** Response to a lookup by idempotency key. */
export type KeyLookupBody = z.infer<typeof keyLookupSchema>;
