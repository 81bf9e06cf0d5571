import type { FastifyReply, FastifyRequest } from 'fastify';
import { readBearerToken } from '../../readBearerToken/index.ts';
import type { CallersContext } from './context.ts';
import { sendInputError } from './errors.ts';

/**
 * Returns the workspace of a request, or responds with status 401.
 *
 * @param context - The entry.
 * @param request - The request with its authorization header.
 * @param reply - The reply that receives the error.
 * @returns The workspace, or `undefined` if the error was sent.
 */
export function authenticate(
  context: CallersContext,
  request: FastifyRequest,
  reply: FastifyReply,
): string | undefined {
  const token = readBearerToken(request.headers);
  const workspace =
    token === undefined ? undefined : context.findWorkspace(token);
  if (workspace !== undefined) return workspace;
  void sendInputError(reply, request.id, {
    status: 401,
    code: 'invalid_token',
    message: 'Send the token of a workspace as "Authorization: Bearer TOKEN".',
  });
  return undefined;
}
