import { z } from 'zod';

/** Answer of a plain service as kept for repeats of its call. */
export const storedAnswerSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

/** Answer of a plain service as kept for repeats of its call. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** Largest stored answer, as base64 text, in characters. */
export const MAX_STORED_ANSWER_CHARS = 512 * 1_024;

/** What is known of a claimed call. */
export const claimStateSchema = z.discriminatedUnion('type', [
  /** The creator may send, may have sent, or is waiting for the answer. */
  z.strictObject({ type: z.literal('claimed') }),
  /** The creator did not send and never will; another token may take over. */
  z.strictObject({ type: z.literal('notRun') }),
  /** The creator sent and will not send again; the outcome is in doubt. */
  z.strictObject({ type: z.literal('unknown'), reason: z.string() }),
  /** The target ran the call; no answer is kept when it was too large. */
  z.strictObject({
    type: z.literal('done'),
    answer: storedAnswerSchema.optional(),
  }),
  /** The target ran the call and reported a failure. */
  z.strictObject({ type: z.literal('failed'), reason: z.string() }),
  /** An operator found that the call ran. */
  z.strictObject({ type: z.literal('settled'), by: z.string() }),
]);

/** What is known of a claimed call. */
export type ClaimState = z.infer<typeof claimStateSchema>;

/** The right to send one call once, and what came of it. */
export const claimSchema = z.strictObject({
  workspace: z.string(),
  service: z.string(),
  idempotencyKey: z.string(),
  /** Equal for an equal body. */
  bodyHash: z.string(),
  /** Unique for each right to send; only its creator sends, once. */
  token: z.string(),
  entryId: z.string(),
  incarnation: z.number(),
  /** Target that the creator chose. */
  targetId: z.string(),
  /** Time from the claim for which its creator may await an answer. */
  timeoutMs: z.number(),
  /** Wall clock of the writer at the claim and at the last change. */
  createdAtMs: z.number(),
  changedAtMs: z.number(),
  state: claimStateSchema,
});

/** The right to send one call once, and what came of it. */
export type Claim = z.infer<typeof claimSchema>;
