import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { FastifyReply } from 'fastify';
import type {
  AnswerSink,
  RequestResult,
} from '../../createOpenRequests/index.ts';
import { describeEnd } from './describeEnd.ts';
import {
  errorBody,
  RAN_HEADER,
  REQUEST_ID_HEADER,
  sendError,
} from './errors.ts';
import type { AnswerShape } from './answerShape.ts';

/** Options of {@link createStreamSink}. */
export interface CreateStreamSinkOptions {
  readonly reply: FastifyReply;
  readonly requestId: string;
  readonly shape: AnswerShape;
}

/**
 * Creates the sink of an answer streamed as server-sent events.
 *
 * The status line waits for the first token, so that a request which ends
 * before it gets an ordinary error answer. A slow reader holds back its own
 * tokens only.
 *
 * @param options - The reply and the shape of its chunks.
 * @returns The sink.
 */
export function createStreamSink(options: CreateStreamSinkOptions): AnswerSink {
  const { reply, requestId, shape } = options;
  const response = reply.raw;

  function start(): void {
    if (response.headersSent) return;
    reply.hijack();
    response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-store',
      [REQUEST_ID_HEADER]: requestId,
      [RAN_HEADER]: 'yes',
    });
  }

  return {
    writeToken: async (text) => {
      start();
      await writeEvent(response, shape.chunk(text));
    },
    restart: () => undefined,
    finish: (result) => {
      if (result.end.type !== 'answered' && !response.headersSent) {
        const description = describeEnd(result.end);
        void sendError(reply, { ...description, requestId, ran: result.ran });
        return;
      }
      start();
      response.end(closingEvents(result, options));
    },
  };
}

function closingEvents(
  result: RequestResult,
  options: CreateStreamSinkOptions,
): string {
  if (result.end.type === 'answered') {
    return `${event(options.shape.lastChunk(result))}data: [DONE]\n\n`;
  }
  const description = describeEnd(result.end);
  const requestId = options.requestId;
  return event(errorBody({ ...description, requestId, ran: result.ran }));
}

async function writeEvent(
  response: ServerResponse,
  body: unknown,
): Promise<void> {
  if (response.destroyed || response.writableEnded) return;
  if (response.write(event(body))) return;
  const settled = new AbortController();
  const wait = { signal: settled.signal };
  await Promise.race([
    once(response, 'drain', wait),
    once(response, 'close', wait),
  ]).finally(() => {
    settled.abort();
  });
}

function event(body: unknown): string {
  return `data: ${JSON.stringify(body)}\n\n`;
}
