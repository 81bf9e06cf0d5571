import { z } from 'zod';

/** Response of a plain service, stored to answer repetitions of the call. */
export const storedAnswerSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

/** Response of a plain service, stored to answer repetitions of the call. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** Maximum size of a stored response, in characters of base64 text. */
export const MAX_STORED_ANSWER_CHARS = 512 * 1_024;

/** State of a claimed call. */
export const claimStateSchema = z.discriminatedUnion('type', [
  /** The creator may send, may have sent, or is waiting for the response. */
  z.strictObject({ type: z.literal('claimed') }),
  /** The creator did not send and never will; another token may take over. */
  z.strictObject({ type: z.literal('notRun') }),
  /** The creator sent and will not send again; the outcome is in doubt. */
  z.strictObject({ type: z.literal('unknown'), reason: z.string() }),
  /** The target ran the call; a response that is too large is not stored. */
  z.strictObject({
    type: z.literal('done'),
    answer: storedAnswerSchema.optional(),
  }),
  /** The target ran the call and reported a failure. */
  z.strictObject({ type: z.literal('failed'), reason: z.string() }),
  /** An operator found that the call ran. */
  z.strictObject({ type: z.literal('settled'), by: z.string() }),
]);

/** State of a claimed call. */
export type ClaimState = z.infer<typeof claimStateSchema>;

/** Exclusive right to send a call once, with the outcome of the call. */
export const claimSchema = z.strictObject({
  workspace: z.string(),
  service: z.string(),
  idempotencyKey: z.string(),
  /** Hash of the body; detects reuse of a key with another body. */
  bodyHash: z.string(),
  /** Unique for each claim; only its creator may send the call, and only once. */
  token: z.string(),
  entryId: z.string(),
  incarnation: z.number(),
  /** Target that the creator chose. */
  targetId: z.string(),
  /** Time from the claim within which the creator may wait for a response. */
  timeoutMs: z.number(),
  /** Wall-clock times, on the writer's clock, of the claim and of the last change. */
  createdAtMs: z.number(),
  changedAtMs: z.number(),
  state: claimStateSchema,
});

/** Exclusive right to send a call once, with the outcome of the call. */
export type Claim = z.infer<typeof claimSchema>;
