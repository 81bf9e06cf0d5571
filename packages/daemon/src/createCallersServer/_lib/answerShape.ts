import type { RequestResult } from '../../createOpenRequests/index.ts';

/** Builds the response bodies of a prompt in an OpenAI-compatible format. */
export interface AnswerShape {
  /** Body of a chunk that carries one token. */
  readonly chunk: (text: string) => unknown;
  /** Body of the last chunk of a stream. */
  readonly lastChunk: (result: RequestResult) => unknown;
  /** Body of a non-streamed answer. */
  readonly fullBody: (text: string, result: RequestResult) => unknown;
}

/** Options of {@link chatShape} and {@link completionShape}. */
export interface AnswerShapeOptions {
  readonly requestId: string;
  readonly model: string;
  readonly promptTokens: number;
  /** Seconds since the epoch. */
  readonly createdS: number;
}

/**
 * Returns the body builders of `/v1/chat/completions`.
 *
 * @param options - Values that all bodies of the answer contain.
 * @returns Functions that build the bodies.
 */
export function chatShape(options: AnswerShapeOptions): AnswerShape {
  const common = commonFields(options, 'chat.completion.chunk');
  return {
    chunk: (text) => ({
      ...common,
      choices: [{ index: 0, delta: { content: text }, finish_reason: null }],
    }),
    lastChunk: (result) => ({
      ...common,
      choices: [{ index: 0, delta: {}, finish_reason: result.finishReason }],
      usage: usage(options, result),
      endivegate: { ran: result.ran },
    }),
    fullBody: (text, result) => ({
      ...commonFields(options, 'chat.completion'),
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: text },
          finish_reason: result.finishReason,
        },
      ],
      usage: usage(options, result),
      endivegate: { ran: result.ran },
    }),
  };
}

/**
 * Returns the body builders of `/v1/completions`.
 *
 * @param options - Values that all bodies of the answer contain.
 * @returns Functions that build the bodies.
 */
export function completionShape(options: AnswerShapeOptions): AnswerShape {
  const common = commonFields(options, 'text_completion');
  const choicesOf = (text: string, finishReason: string | null | undefined) => [
    { index: 0, text, finish_reason: finishReason },
  ];
  const finalBody = (text: string, result: RequestResult) => ({
    ...common,
    choices: choicesOf(text, result.finishReason),
    usage: usage(options, result),
    endivegate: { ran: result.ran },
  });
  return {
    chunk: (text) => ({ ...common, choices: choicesOf(text, null) }),
    lastChunk: (result) => finalBody('', result),
    fullBody: finalBody,
  };
}

function commonFields(options: AnswerShapeOptions, object: string): object {
  return {
    id: options.requestId,
    object,
    created: options.createdS,
    model: options.model,
  };
}

function usage(options: AnswerShapeOptions, result: RequestResult): object {
  return {
    prompt_tokens: options.promptTokens,
    completion_tokens: result.outputTokens,
    total_tokens: options.promptTokens + result.outputTokens,
  };
}
