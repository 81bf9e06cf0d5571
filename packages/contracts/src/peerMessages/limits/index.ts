import { z } from 'zod';

const amountSchema = z.number().nonnegative();

/** Amounts of the three quantities that a table row limits. */
export const limitAmountsSchema = z.strictObject({
  concurrency: amountSchema,
  requestsPerSecond: amountSchema,
  tokensPerSecond: amountSchema,
});

/** Amounts of the three quantities that a table row limits. */
export type LimitAmounts = Readonly<z.infer<typeof limitAmountsSchema>>;

const keySchema = z.string().min(1).max(1_024);

/** Report of an entry's demand and use of a limit, sent to its coordinator. */
export const limitWantedSchema = z.strictObject({
  type: z.literal('limitWanted'),
  key: keySchema,
  wanted: limitAmountsSchema,
  inFlight: z.number().int().nonnegative(),
  /** Time of the report on the sender's clock; the grant repeats it. */
  reportedAtMs: z.number(),
});

/** Share of a limit, valid for a short time from the report that requested it. */
export const limitGrantedSchema = z.strictObject({
  type: z.literal('limitGranted'),
  key: keySchema,
  granted: limitAmountsSchema,
  reportedAtMs: z.number(),
});
