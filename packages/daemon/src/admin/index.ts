import fastify, { type FastifyError, type FastifyInstance } from 'fastify';
import { isAuthorized } from './_lib/authorize.ts';
import type { AdminPorts } from './_lib/ports.ts';
import { sendError } from './_lib/replies.ts';
import { registerFleetRoutes } from './routes/fleet.ts';
import { registerTableRoutes } from './routes/table.ts';

export type { AdminFailure, AdminPorts } from './_lib/ports.ts';

/** Options of {@link startAdminServer}. */
export interface StartAdminServerOptions {
  readonly host: string;
  /** Port to listen on; 0 for any free port. */
  readonly port: number;
  /** Bearer token required by every call. */
  readonly token: string;
  readonly ports: AdminPorts;
  /** Maximum size of a request body; the largest body is a whole table. */
  readonly maxBodyBytes?: number;
}

const MAX_BODY_BYTES = 32 * 1024 * 1024;

/**
 * Starts the operators' HTTP server on its own port.
 *
 * @param options - Address, token and the functions of the entry.
 * @returns The listening server.
 * @throws If the port cannot be bound.
 *
 * @example
 * const server = await startAdminServer({ host, port, token, ports });
 */
export async function startAdminServer(
  options: StartAdminServerOptions,
): Promise<FastifyInstance> {
  const server = createAdminServer(options);
  await server.listen({ host: options.host, port: options.port });
  return server;
}

/**
 * Creates the operators' HTTP server without listening.
 *
 * @param options - Token and the functions of the entry.
 * @returns The server.
 */
export function createAdminServer(
  options: Omit<StartAdminServerOptions, 'host' | 'port'>,
): FastifyInstance {
  const server = fastify({
    bodyLimit: options.maxBodyBytes ?? MAX_BODY_BYTES,
    forceCloseConnections: 'idle',
  });
  server.addHook('onRequest', async (request, reply) => {
    if (isAuthorized(request.headers.authorization, options.token)) return;
    const message = "The operators' token is missing or wrong.";
    await sendError(reply, { type: 'unauthorized', message });
  });
  server.setNotFoundHandler((_request, reply) =>
    sendError(reply, { type: 'not_found', message: 'There is no such route.' }),
  );
  server.setErrorHandler<FastifyError>((error, _request, reply) => {
    const isClientError = (error.statusCode ?? 500) < 500;
    return sendError(reply, {
      type: isClientError ? 'invalid_request' : 'internal',
      message: isClientError ? error.message : 'An internal error occurred.',
    });
  });
  registerTableRoutes(server, options.ports);
  registerFleetRoutes(server, options.ports);
  return server;
}
