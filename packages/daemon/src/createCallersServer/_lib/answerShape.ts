import type { RequestResult } from '../../createOpenRequests/index.ts';

/** Bodies of a prompt's answer in the OpenAI shape. */
export interface AnswerShape {
  /** One streamed token. */
  readonly chunk: (text: string) => unknown;
  /** The last chunk of a stream. */
  readonly lastChunk: (result: RequestResult) => unknown;
  /** A whole answer. */
  readonly whole: (text: string, result: RequestResult) => unknown;
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
 * Returns the shape of `/v1/chat/completions`.
 *
 * @param options - Fields that all bodies of the answer share.
 * @returns Functions that build the bodies.
 */
export function chatShape(options: AnswerShapeOptions): AnswerShape {
  const stream = heading(options, 'chat.completion.chunk');
  return {
    chunk: (text) => ({
      ...stream,
      choices: [{ index: 0, delta: { content: text }, finish_reason: null }],
    }),
    lastChunk: (result) => ({
      ...stream,
      choices: [{ index: 0, delta: {}, finish_reason: result.finishReason }],
      usage: usage(options, result),
      endivegate: { ran: result.ran },
    }),
    whole: (text, result) => ({
      ...heading(options, 'chat.completion'),
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
 * Returns the shape of `/v1/completions`.
 *
 * @param options - Fields that all bodies of the answer share.
 * @returns Functions that build the bodies.
 */
export function completionShape(options: AnswerShapeOptions): AnswerShape {
  const head = heading(options, 'text_completion');
  const choice = (text: string, finishReason: string | null | undefined) => [
    { index: 0, text, finish_reason: finishReason },
  ];
  const closing = (text: string, result: RequestResult) => ({
    ...head,
    choices: choice(text, result.finishReason),
    usage: usage(options, result),
    endivegate: { ran: result.ran },
  });
  return {
    chunk: (text) => ({ ...head, choices: choice(text, null) }),
    lastChunk: (result) => closing('', result),
    whole: closing,
  };
}

function heading(options: AnswerShapeOptions, object: string): object {
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
