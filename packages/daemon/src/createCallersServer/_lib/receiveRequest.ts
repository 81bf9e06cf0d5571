import type { RequestInfo } from '@endivegate/core';
import type { FastifyReply } from 'fastify';
import type {
  AnswerSink,
  RequestWork,
} from '../../createOpenRequests/index.ts';
import type { CallersContext } from './context.ts';
import { sendError } from './errors.ts';

const ENTRY_FULL_RETRY_AFTER_MS = 1_000;

/** A request whose input is valid. */
export interface ReceivedRequest {
  readonly info: RequestInfo;
  readonly work: RequestWork;
  readonly sink: AnswerSink;
}

/**
 * Registers a request as open and dispatches `request.received`.
 *
 * If the caller's connection closes before the request has ended,
 * `request.callerGone` is dispatched. If the entry has reached its limit of open
 * requests, the request is rejected with status 429 instead.
 *
 * @param context - The entry.
 * @param reply - The reply to the caller.
 * @param request - The request.
 */
export function receiveRequest(
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
      retryAfterMs: ENTRY_FULL_RETRY_AFTER_MS,
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
