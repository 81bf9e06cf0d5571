import { z } from 'zod';
import { limitGrantedSchema, limitWantedSchema } from '../limits/index.ts';

const idSchema = z.string().min(1).max(256);
const countSchema = z.number().int().nonnegative();
const durationMsSchema = z.number();

const placementPartSchema = z.strictObject({
  targetId: idSchema,
  tokens: countSchema,
});

const workByLengthClassSchema = z.strictObject({
  short: z.number().nonnegative(),
  medium: z.number().nonnegative(),
  long: z.number().nonnegative(),
  huge: z.number().nonnegative(),
});

/** Engines that already hold a request when another entry takes over placement. */
const heldPlacementSchema = z.strictObject({
  targetId: idSchema,
  parts: z.array(placementPartSchema).readonly(),
  phase: z.enum(['prefill', 'decoding']),
});

/** Messages between entries on the topic `routing`, about placement and limits. */
export const routingMessageSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('placementWanted'),
    requestId: idSchema,
    model: idSchema,
    workspace: idSchema,
    weight: z.number().positive(),
    promptTokens: countSchema,
    /** Memory required for the prompt and its complete output. */
    needTokens: countSchema,
    /** Estimated prefill time. */
    costMs: z.number().nonnegative(),
    /** Estimated time from the first token to the last. */
    decodeMs: z.number().nonnegative(),
    /** Time until the deadline. */
    remainingMs: durationMsSchema,
    excludedTargetIds: z.array(idSchema).readonly(),
    held: heldPlacementSchema.optional(),
  }),
  z.strictObject({
    type: z.literal('placementGranted'),
    requestId: idSchema,
    targetId: idSchema,
    parts: z.array(placementPartSchema).readonly(),
  }),
  z.strictObject({
    type: z.literal('placementRefused'),
    requestId: idSchema,
    retryAfterMs: z.number().nonnegative(),
  }),
  /** The engine has finished the prefill and can start another one. */
  z.strictObject({
    type: z.literal('placementPrefilled'),
    requestId: idSchema,
  }),
  z.strictObject({ type: z.literal('placementEnded'), requestId: idSchema }),
  z.strictObject({
    type: z.literal('demand'),
    model: idSchema,
    work: workByLengthClassSchema,
  }),
  limitWantedSchema,
  limitGrantedSchema,
  z.strictObject({
    type: z.literal('lanes'),
    model: idSchema,
    plan: z.strictObject({
      shortEngines: countSchema,
      longEngines: countSchema,
    }),
  }),
]);

/** Message between entries about placement and limits. */
export type RoutingMessage = z.infer<typeof routingMessageSchema>;
