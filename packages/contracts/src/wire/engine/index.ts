import { z } from 'zod';

/** Header in which a target echoes the attempt id of a call. */
export const ATTEMPT_ID_HEADER = 'x-attempt-id';

/** Header of a refusal: `x-ran: no` states that the call did not run. */
export const RAN_HEADER = 'x-ran';

const countSchema = z.number().int().nonnegative();

/** Body of `POST /v1/attempts`. */
export const engineSubmissionSchema = z.object({
  attemptId: z.string().min(1),
  model: z.string().min(1),
  prompt: z.string(),
  promptTokens: z.number().int().positive(),
  maxOutputTokens: z.number().int().positive(),
  priority: z.number(),
  timeoutMs: z.number().positive(),
  reservationId: z.string().optional(),
  prefixHashes: z.array(z.string()),
});

/** One line of an engine's response stream. */
export const engineStreamLineSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('token'),
    attemptId: z.string(),
    offset: countSchema,
    text: z.string(),
  }),
  z.object({
    type: z.literal('end'),
    attemptId: z.string(),
    finishReason: z.enum(['stop', 'length']),
    outputTokens: countSchema,
  }),
  z.object({
    type: z.literal('failed'),
    attemptId: z.string(),
    reason: z.string(),
  }),
]);

/** One line of an engine's response stream. */
export type EngineStreamLine = z.infer<typeof engineStreamLineSchema>;

/** Body of the response when a target refuses a call before it starts. */
export const refusalSchema = z.object({
  ran: z.literal('no'),
  reason: z.string(),
  retryAfterMs: z.number().optional(),
});

/** Body of the response when a target refuses a call before it starts. */
export type Refusal = z.infer<typeof refusalSchema>;

/** Response of `GET /v1/attempts/ID`. */
export const attemptReportSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('absent') }),
  z.object({
    type: z.enum(['queued', 'prefill', 'decoding', 'done']),
    outputTokens: countSchema,
  }),
]);

/** Body of `PUT /v1/reservations/ID`. */
export const reservationRequestSchema = z.object({
  tokens: countSchema,
  lifetimeMs: z.number().positive(),
});

/** Response of `GET /v1/reservations`. */
export const reservationsSchema = z.array(
  z.object({
    reservationId: z.string(),
    tokens: countSchema,
    ageMs: z.number(),
    lifetimeMs: z.number(),
  }),
);

/** Response of `GET /v1/cache-events`. */
export const cacheEventsSchema = z.array(
  z.object({
    sequence: countSchema,
    change: z.enum(['stored', 'evicted']),
    prefixHash: z.string(),
  }),
);

/** Response of `GET /v1/load`. */
export const loadReportSchema = z.object({
  ageMs: z.number(),
  queuedRequests: countSchema,
  runningRequests: countSchema,
  queuedPrefillTokens: countSchema,
  kvUsedTokens: countSchema,
  kvCapacityTokens: countSchema,
});

/** Response of `GET /v1/assignment`. */
export const engineAssignmentSchema = z.object({
  models: z.array(
    z.object({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
    }),
  ),
  role: z.enum(['mixed', 'long', 'short']),
});

/** Body of `POST /v1/orders`. */
export const engineOrderSchema = z.object({
  orderId: z.string().min(1),
  fencingNumber: z.number().int(),
  wanted: engineAssignmentSchema,
  timeoutMs: z.number().positive(),
});
