import fastify, { type FastifyError, type FastifyInstance } from 'fastify';
import type { CallersContext } from './_lib/context.ts';
import { type InputError, sendError, sendInputError } from './_lib/errors.ts';
import { limitBodies, NoMemoryError } from './_lib/limitBodies.ts';
import { registerInfoRoutes } from './routes/info.ts';
import { registerPromptRoutes } from './routes/prompts.ts';
import { registerServiceRoutes } from './routes/services.ts';

export type { CallersContext } from './_lib/context.ts';
export { rejectWhileLeaving } from './_lib/rejectWhileLeaving.ts';

/** Limits on what a caller may send. */
export interface CreateCallersServerOptions {
  readonly maxBodyBytes?: number;
  /** Limit of the bodies of all open requests together; 256 MiB by default. */
  readonly maxHeldBytes?: number;
  readonly maxHeaderBytes?: number;
  /** Time a caller has to send its complete request. */
  readonly receiveTimeoutMs?: number;
}

const DEFAULTS: Required<CreateCallersServerOptions> = {
  maxBodyBytes: 16 * 1024 * 1024,
  maxHeldBytes: 256 * 1024 * 1024,
  maxHeaderBytes: 16_384,
  receiveTimeoutMs: 30_000,
};

const NO_MEMORY_RETRY_AFTER_MS = 1000;

/** How often slow connections are checked within `receiveTimeoutMs`. */
const CHECKS_PER_RECEIVE_TIMEOUT = 8;

/**
 * Creates the HTTP server for callers; it is not listening yet.
 *
 * @param context - The entry behind the server.
 * @param options - Limits on requests.
 * @returns The server.
 */
export function createCallersServer(
  context: CallersContext,
  options: CreateCallersServerOptions = {},
): FastifyInstance {
  const limits = { ...DEFAULTS, ...options };
  const server = fastify({
    bodyLimit: limits.maxBodyBytes,
    requestTimeout: limits.receiveTimeoutMs,
    http: {
      maxHeaderSize: limits.maxHeaderBytes,
      // Same value as requestTimeout, because Node.js does not enforce the
      // shorter of the two timeouts while the other one is longer.
      headersTimeout: limits.receiveTimeoutMs,
      requestTimeout: limits.receiveTimeoutMs,
      connectionsCheckingInterval:
        limits.receiveTimeoutMs / CHECKS_PER_RECEIVE_TIMEOUT,
    },
    genReqId: context.newRequestId,
    forceCloseConnections: 'idle',
  });
  limitBodies(server, limits);
  server.setErrorHandler<FastifyError>((error, request, reply) => {
    if (!(error instanceof NoMemoryError)) {
      return sendInputError(reply, request.id, toInputError(error));
    }
    return sendError(reply.header('connection', 'close'), {
      requestId: request.id,
      ran: 'no',
      status: error.statusCode,
      type: 'rate_limit_error',
      code: 'entry_full',
      message: error.message,
      retryAfterMs: NO_MEMORY_RETRY_AFTER_MS,
    });
  });
  server.setNotFoundHandler((request, reply) =>
    sendInputError(reply, request.id, {
      status: 404,
      code: 'unknown_route',
      message: 'There is no such route.',
    }),
  );
  registerInfoRoutes(server, context);
  registerPromptRoutes(server, context);
  registerServiceRoutes(server, context);
  return server;
}

const INPUT_ERRORS: Readonly<Record<string, InputError>> = {
  FST_ERR_CTP_BODY_TOO_LARGE: {
    status: 413,
    code: 'body_too_large',
    message: 'The body is larger than this entry takes.',
  },
  FST_ERR_CTP_INVALID_MEDIA_TYPE: {
    status: 415,
    code: 'unsupported_media_type',
    message: 'Send the body as application/json.',
  },
};

function toInputError(error: FastifyError): InputError {
  const known = INPUT_ERRORS[error.code];
  if (known) return known;
  const status = error.statusCode ?? 500;
  if (status < 500) {
    return { status, code: 'invalid_request', message: error.message };
  }
  return {
    status: 500,
    code: 'internal_error',
    message: 'The entry failed to handle the request before it was sent.',
  };
}
