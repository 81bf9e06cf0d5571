import type { RequestInfo } from '@endivegate/core';
import type { FastifyReply } from 'fastify';
import type {
  AnswerSink,
  RequestWork,
} from '../../createOpenRequests/index.ts';
import type { CallersContext } from './context.ts';
import { sendError } from './errors.ts';

const BUSY_RETRY_AFTER_MS = 1_000;

/** A request that passed all checks of its input. */
export interface ReceivedRequest {
  readonly info: RequestInfo;
  readonly work: RequestWork;
  readonly sink: AnswerSink;
}

/**
 * Hands a request to the decisions and watches its caller's connection.
 *
 * @param context - The entry.
 * @param reply - The reply whose connection is watched.
 * @param request - The request.
 */
export function receive(
  context: CallersContext,
  reply: FastifyReply,
  request: ReceivedRequest,
): void {
  const { requestId } = request.info;
  if (context.openRequests.count() >= context.maxOpenRequests) {
    void sendError(reply, {
      requestId,
      ran: 'no',
      status: 429,
      type: 'rate_limit_error',
      code: 'entry_full',
      message: 'This entry holds as many open requests as it may.',
      retryAfterMs: BUSY_RETRY_AFTER_MS,
    });
    return;
  }
  context.openRequests.add(request);
  reply.raw.once('close', () => {
    if (context.openRequests.find(requestId) === undefined) return;
    context.runtime.dispatch({ type: 'request.callerGone', requestId });
  });
  context.runtime.dispatch({
    type: 'request.received',
    request: request.info,
  });
}
