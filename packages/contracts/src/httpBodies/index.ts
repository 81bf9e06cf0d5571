import { z } from 'zod';
import { ranSchema } from '../ran/index.ts';

const MAX_PROMPT_CHARS = 16_000_000;
const MAX_OUTPUT_TOKENS = 200_000;

const commonFields = {
  model: z.string().min(1).max(128),
  max_tokens: z.number().int().positive().max(MAX_OUTPUT_TOKENS).optional(),
  stream: z.boolean().optional(),
  /** Request kind, as used in the table; defaults to the length class. */
  kind: z.string().min(1).max(64).optional(),
};

const textPartSchema = z.looseObject({
  type: z.literal('text'),
  text: z.string().max(MAX_PROMPT_CHARS),
});

/** One message of a chat. */
export const chatMessageSchema = z.looseObject({
  role: z.string().min(1).max(32),
  content: z.union([
    z.string().max(MAX_PROMPT_CHARS),
    z.array(textPartSchema).max(1_000),
  ]),
});

/** Body of `POST /v1/chat/completions`. */
export const chatBodySchema = z.looseObject({
  ...commonFields,
  messages: z.array(chatMessageSchema).min(1).max(10_000),
});

/** Body of `POST /v1/completions`. */
export const completionBodySchema = z.looseObject({
  ...commonFields,
  prompt: z.string().min(1).max(MAX_PROMPT_CHARS),
});

/** Body of `POST /v1/chat/completions`. */
export type ChatBody = z.infer<typeof chatBodySchema>;

/** Body of `POST /v1/completions`. */
export type CompletionBody = z.infer<typeof completionBodySchema>;

/** Body of every error response to a caller, in the OpenAI format. */
export const errorBodySchema = z.strictObject({
  error: z.strictObject({
    message: z.string(),
    type: z.string(),
    code: z.string(),
    param: z.string().nullable(),
    /** Whether the request ran on a target. */
    ran: ranSchema,
    request_id: z.string(),
    retry_after_ms: z.number().nullable(),
  }),
});

/** Body of every error response to a caller. */
export type ErrorBody = z.infer<typeof errorBodySchema>;

/** Response of `GET /v1/entries`. */
export const entriesBodySchema = z.strictObject({
  /** Entries to use, in order of preference. */
  entries: z.array(
    z.strictObject({
      entryId: z.string(),
      url: z.string(),
      dataCentre: z.string(),
      region: z.string(),
    }),
  ),
  /** Time for which the caller may cache this response. */
  ttlMs: z.number(),
});

/** Response of `GET /v1/entries`. */
export type EntriesBody = z.infer<typeof entriesBodySchema>;
