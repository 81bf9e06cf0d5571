import type { FastifyReply } from 'fastify';
import type {
  AnswerSink,
  RequestResult,
} from '../../createOpenRequests/index.ts';
import type { AnswerShape } from './answerShape.ts';
import { describeEnd } from './describeEnd.ts';
import { RAN_HEADER, REQUEST_ID_HEADER, sendError } from './errors.ts';

/** Options of {@link createWholeSink} and {@link createCallSink}. */
export interface WholeSinkOptions {
  readonly reply: FastifyReply;
  readonly requestId: string;
}

/**
 * Creates the sink of a prompt's answer that is sent whole.
 *
 * @param options - The reply and the shape of its body.
 * @returns The sink; nothing is sent before the end.
 */
export function createWholeSink(
  options: WholeSinkOptions & { readonly shape: AnswerShape },
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
        .send(options.shape.whole(texts.join(''), result));
    },
  };
}

/**
 * Creates the sink of a plain service's answer, passed through unchanged.
 *
 * @param options - The reply.
 * @returns The sink.
 */
export function createCallSink(options: WholeSinkOptions): AnswerSink {
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
  options: WholeSinkOptions,
): boolean {
  if (result.end.type === 'answered') return false;
  const description = describeEnd(result.end);
  const requestId = options.requestId;
  void sendError(options.reply, { ...description, requestId, ran: result.ran });
  return true;
}
