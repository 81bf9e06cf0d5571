import type { ErrorBody, Ran } from '@endivegate/contracts';
import type { FastifyReply } from 'fastify';
import type { EndDescription } from './describeEnd.ts';

/** Header that states whether the request ran. */
export const RAN_HEADER = 'endivegate-ran';

/** Header that carries the request id. */
export const REQUEST_ID_HEADER = 'x-request-id';

const MS_PER_SECOND = 1_000;

/** Content of an error response. */
export interface ErrorResponse extends EndDescription {
  readonly requestId: string;
  readonly ran: Ran;
  readonly param?: string;
}

/**
 * Builds an error body in the OpenAI format.
 *
 * @param error - Content of the response.
 * @returns The body.
 */
export function buildErrorBody(error: ErrorResponse): ErrorBody {
  return {
    error: {
      message: error.message,
      type: error.type,
      code: error.code,
      param: error.param ?? null,
      ran: error.ran,
      request_id: error.requestId,
      retry_after_ms: error.retryAfterMs ?? null,
    },
  };
}

/**
 * Sends an error response.
 *
 * @param reply - The reply that receives the error.
 * @param error - Content of the response.
 * @returns The reply, sent.
 */
export function sendError(
  reply: FastifyReply,
  error: ErrorResponse,
): FastifyReply {
  if (error.retryAfterMs !== undefined) {
    const seconds = Math.ceil(error.retryAfterMs / MS_PER_SECOND);
    void reply.header('retry-after', String(seconds));
  }
  return reply
    .code(error.status)
    .header(RAN_HEADER, error.ran)
    .header(REQUEST_ID_HEADER, error.requestId)
    .send(buildErrorBody(error));
}

/** An error found before the request was sent to a target; it has not run. */
export interface InputError {
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly param?: string;
}

/**
 * Sends an error response for a request that has not run.
 *
 * @param reply - The reply that receives the error.
 * @param requestId - Id of the request.
 * @param error - The error.
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
