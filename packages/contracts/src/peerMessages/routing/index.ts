import { z } from 'zod';
import { limitGrantedSchema, limitWantedSchema } from '../limits/index.ts';

const idSchema = z.string().min(1).max(256);
const countSchema = z.number().int().nonnegative();
const durationMsSchema = z.number();

const partSchema = z.strictObject({ targetId: idSchema, tokens: countSchema });

const workSchema = z.strictObject({
  short: z.number().nonnegative(),
  medium: z.number().nonnegative(),
  long: z.number().nonnegative(),
  huge: z.number().nonnegative(),
});

/** Engines that a request already has, when its placing entry changes. */
const heldSchema = z.strictObject({
  targetId: idSchema,
  parts: z.array(partSchema).readonly(),
  phase: z.enum(['prefill', 'decoding']),
});

/** Messages between entries about placement and limits; topic `routing`. */
export const routingMessageSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('placementWanted'),
    requestId: idSchema,
    model: idSchema,
    workspace: idSchema,
    weight: z.number().positive(),
    promptTokens: countSchema,
    /** Memory for the prompt and its whole output. */
    needTokens: countSchema,
    /** Estimated prefill time. */
    costMs: z.number().nonnegative(),
    /** Estimated time from the first token to the last. */
    decodeMs: z.number().nonnegative(),
    /** Time left until the deadline. */
    remainingMs: durationMsSchema,
    excludedTargetIds: z.array(idSchema).readonly(),
    held: heldSchema.optional(),
  }),
  z.strictObject({
    type: z.literal('placementGranted'),
    requestId: idSchema,
    targetId: idSchema,
    parts: z.array(partSchema).readonly(),
  }),
  z.strictObject({
    type: z.literal('placementRefused'),
    requestId: idSchema,
    retryAfterMs: z.number().nonnegative(),
  }),
  /** The prompt is in the engine's memory; the engine may start another. */
  z.strictObject({
    type: z.literal('placementPrefilled'),
    requestId: idSchema,
  }),
  z.strictObject({ type: z.literal('placementEnded'), requestId: idSchema }),
  z.strictObject({
    type: z.literal('demand'),
    model: idSchema,
    work: workSchema,
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
