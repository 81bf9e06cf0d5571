import { z } from 'zod';
import { entryAddressSchema, targetSchema } from '../../addresses/index.ts';

/** Maximum size of a value in the key-value service. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Header with the purpose of a call to the platform. */
export const PURPOSE_HEADER = 'x-purpose';

const version = z.number().int().nonnegative();
const key = z.string().min(1).max(512);

/** A stored value with its version. */
export const keyValueSchema = z.object({ key, value: z.string(), version });

/** Body of `POST /v1/kv/get`. */
export const getBodySchema = z.object({ key });

/** Response of `POST /v1/kv/get`; null when the key does not exist. */
export const getAnswerSchema = z.object({ found: keyValueSchema.nullable() });

/** Body of `POST /v1/kv/list`. */
export const listBodySchema = z.object({
  prefix: z.string(),
  limit: z.number().int().positive().optional(),
});

/** Response of `POST /v1/kv/list`. */
export const listAnswerSchema = z.object({ found: z.array(keyValueSchema) });

/** Body of `POST /v1/kv/cas`. */
export const casBodySchema = z.object({
  key,
  value: z.string(),
  expectedVersion: version,
  leaseId: z.string().optional(),
});

/** Body of `POST /v1/kv/delete`. */
export const deleteBodySchema = z.object({ key, expectedVersion: version });

/** Body of `POST /v1/kv/watch`. */
export const watchBodySchema = z.object({
  prefix: z.string(),
  afterRevision: version,
  waitMs: z.number().nonnegative(),
});

/** Response of `POST /v1/kv/watch`. */
export const watchBatchSchema = z.object({
  revision: version,
  changes: z.array(
    z.discriminatedUnion('type', [
      keyValueSchema.extend({ type: z.literal('put') }),
      z.object({ type: z.literal('delete'), key }),
    ]),
  ),
});

/** Body of `POST /v1/leases/grant`. */
export const grantLeaseBodySchema = z.object({
  ttlMs: z.number().positive(),
});

/** Body of `POST /v1/leases/renew` and `POST /v1/leases/revoke`. */
export const leaseIdBodySchema = z.object({ leaseId: z.string() });

/** Response of `POST /v1/leases/grant` and `POST /v1/leases/renew`. */
export const leaseSchema = z.object({
  leaseId: z.string(),
  ttlMs: z.number(),
});

/** Response of `GET /v1/instances`. */
export const instanceListSchema = z.object({
  entries: z.array(entryAddressSchema.extend({ leaving: z.boolean() })),
  targets: z.array(targetSchema),
});

/** Error response to a call that the platform did not carry out. */
export const platformRefusalSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('rateLimited'), retryAfterMs: z.number() }),
  z.object({
    type: z.literal('conflict'),
    current: keyValueSchema.nullable(),
  }),
  z.object({ type: z.literal('leaseLapsed') }),
  z.object({ type: z.literal('valueTooLarge') }),
]);

/** Error response to a call that the platform did not carry out. */
export type PlatformRefusal = z.infer<typeof platformRefusalSchema>;
