import { z } from 'zod';

const amountSchema = z.number().nonnegative();

/** Amounts of the three kinds that a row limits. */
export const limitAmountsSchema = z.strictObject({
  concurrency: amountSchema,
  requestsPerSecond: amountSchema,
  tokensPerSecond: amountSchema,
});

/** Amounts of the three kinds that a row limits. */
export type LimitAmounts = Readonly<z.infer<typeof limitAmountsSchema>>;

const keySchema = z.string().min(1).max(1_024);

/** An entry's use of a limit, to the limit's coordinator. */
export const limitWantedSchema = z.strictObject({
  type: z.literal('limitWanted'),
  key: keySchema,
  wanted: limitAmountsSchema,
  inFlight: z.number().int().nonnegative(),
  /** Time of the report by the sender's clock; echoed by the grant. */
  reportedAtMs: z.number(),
});

/** A share of a limit, for a short time from the report that asked for it. */
export const limitGrantedSchema = z.strictObject({
  type: z.literal('limitGranted'),
  key: keySchema,
  granted: limitAmountsSchema,
  reportedAtMs: z.number(),
});
