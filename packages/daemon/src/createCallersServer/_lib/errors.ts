import type { ErrorBody, Ran } from '@endivegate/contracts';
import type { FastifyReply } from 'fastify';
import type { EndDescription } from './describeEnd.ts';

/** Header that tells whether the request ran. */
export const RAN_HEADER = 'endivegate-ran';

/** Header that carries the request id. */
export const REQUEST_ID_HEADER = 'x-request-id';

const MS_PER_SECOND = 1_000;

/** What an error answer tells. */
export interface ErrorAnswer extends EndDescription {
  readonly requestId: string;
  readonly ran: Ran;
  readonly param?: string;
}

/**
 * Builds an error body in the OpenAI shape.
 *
 * @param answer - What to tell.
 * @returns The body.
 */
export function errorBody(answer: ErrorAnswer): ErrorBody {
  return {
    error: {
      message: answer.message,
      type: answer.type,
      code: answer.code,
      param: answer.param ?? null,
      ran: answer.ran,
      request_id: answer.requestId,
      retry_after_ms: answer.retryAfterMs ?? null,
    },
  };
}

/**
 * Sends an error answer.
 *
 * @param reply - The reply to answer on.
 * @param answer - What to tell.
 * @returns The reply, sent.
 */
export function sendError(
  reply: FastifyReply,
  answer: ErrorAnswer,
): FastifyReply {
  if (answer.retryAfterMs !== undefined) {
    const seconds = Math.ceil(answer.retryAfterMs / MS_PER_SECOND);
    void reply.header('retry-after', String(seconds));
  }
  return reply
    .code(answer.status)
    .header(RAN_HEADER, answer.ran)
    .header(REQUEST_ID_HEADER, answer.requestId)
    .send(errorBody(answer));
}

/** An input error: the request was not run. */
export interface InputError {
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly param?: string;
}

/**
 * Sends the answer to a malformed or forbidden request.
 *
 * @param reply - The reply to answer on.
 * @param requestId - Id of the request.
 * @param error - What is wrong with it.
 * @returns The reply, sent.
 */
export function sendInputError(
  reply: FastifyReply,
  requestId: string,
  error: InputError,
): FastifyReply {
  return sendError(reply, {
    ...error,
    requestId,
    ran: 'no',
    type:
      error.status === 401 ? 'authentication_error' : 'invalid_request_error',
    retryAfterMs: undefined,
  });
}
