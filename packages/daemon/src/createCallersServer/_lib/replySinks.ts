import type { FastifyReply } from 'fastify';
import type {
  AnswerSink,
  RequestResult,
} from '../../createOpenRequests/index.ts';
import type { AnswerShape } from './answerShape.ts';
import { describeEnd } from './describeEnd.ts';
import { RAN_HEADER, REQUEST_ID_HEADER, sendError } from './errors.ts';

/** Options of {@link createBufferedSink} and {@link createCallSink}. */
export interface ReplySinkOptions {
  readonly reply: FastifyReply;
  readonly requestId: string;
}

/**
 * Creates the sink of a prompt's non-streamed answer.
 *
 * @param options - The reply and the builder of its body.
 * @returns The sink, which buffers all tokens and sends the body at the end.
 */
export function createBufferedSink(
  options: ReplySinkOptions & { readonly shape: AnswerShape },
): AnswerSink {
  let texts: string[] = [];
  return {
    writeToken: (text) => {
      texts.push(text);
      return Promise.resolve();
    },
    restart: () => {
      texts = [];
    },
    finish: (result) => {
      if (sendFailure(result, options)) return;
      void options.reply
        .code(200)
        .header(RAN_HEADER, result.ran)
        .header(REQUEST_ID_HEADER, options.requestId)
        .send(options.shape.fullBody(texts.join(''), result));
    },
  };
}

/**
 * Creates the sink of a plain service's answer, whose body is not changed.
 *
 * @param options - The reply and the request id.
 * @returns The sink.
 */
export function createCallSink(options: ReplySinkOptions): AnswerSink {
  return {
    writeToken: () => Promise.resolve(),
    restart: () => undefined,
    finish: (result) => {
      if (sendFailure(result, options)) return;
      void options.reply
        .code(result.answer?.status ?? 200)
        .header(RAN_HEADER, result.ran)
        .header(REQUEST_ID_HEADER, options.requestId)
        .header('content-type', result.answer?.contentType ?? 'text/plain')
        .send(Buffer.from(result.answer?.body ?? []));
    },
  };
}

function sendFailure(
  result: RequestResult,
  options: ReplySinkOptions,
): boolean {
  if (result.end.type === 'answered') return false;
  const description = describeEnd(result.end);
  const requestId = options.requestId;
  void sendError(options.reply, { ...description, requestId, ran: result.ran });
  return true;
}
