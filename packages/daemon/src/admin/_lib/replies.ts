import type { AdminErrorBody } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import type { FastifyReply } from 'fastify';
import type { z } from 'zod';
import type { EditTableError } from '../../table/editTable/index.ts';
import type { AdminFailure } from './ports.ts';

type AdminError = AdminErrorBody['error'];

const STATUS_BY_ERROR_TYPE: Readonly<Record<AdminError['type'], number>> = {
  unauthorized: 401,
  invalid_request: 400,
  not_found: 404,
  conflict: 409,
  invalid_table: 422,
  store_down: 503,
  in_doubt: 504,
  internal: 500,
};

/**
 * Sends an error response of the operators' API.
 *
 * @param reply - Reply of the call.
 * @param error - The error; its type determines the HTTP status.
 * @returns The reply.
 */
export function sendError(
  reply: FastifyReply,
  error: AdminError,
): FastifyReply {
  return reply.code(STATUS_BY_ERROR_TYPE[error.type]).send({ error });
}

/**
 * Sends the result of a call, or its error.
 *
 * @param reply - Reply of the call.
 * @param result - Result or error.
 * @returns The reply.
 */
export function sendResult(
  reply: FastifyReply,
  result: E.Either<AdminFailure, unknown>,
): FastifyReply {
  if (E.isRight(result)) return reply.send(result.right ?? {});
  const { type, reason: message } = result.left;
  switch (type) {
    case 'storeDown':
      return sendError(reply, { type: 'store_down', message });
    case 'notFound':
      return sendError(reply, { type: 'not_found', message });
    case 'conflict':
      return sendError(reply, { type: 'conflict', message });
  }
}

/**
 * Converts the error of an edit into an error of the operators' API.
 *
 * @param error - Error of the edit.
 * @returns The error to send.
 */
export function describeEditError(error: EditTableError): AdminError {
  switch (error.type) {
    case 'conflicts':
      return {
        type: 'conflict',
        message: 'Others changed the same cells; nothing was changed.',
        conflicts: [...error.conflicts],
      };
    case 'invalid':
      return {
        type: 'invalid_table',
        message: 'The table has findings; nothing was changed.',
        findings: [...error.findings],
      };
    case 'inDoubt':
      return {
        type: 'in_doubt',
        message:
          'The store gave no reply, so the edit may have been accepted. ' +
          `Send it again with the token ${error.editToken}; it counts once.`,
      };
    case 'unknownNumber':
      return {
        type: 'not_found',
        message: `The table history does not contain version ${error.number}.`,
      };
    case 'damaged':
      return {
        type: 'store_down',
        message: `The store's value ${error.key} is missing or damaged; nothing was changed.`,
      };
    case 'store':
      return {
        type: 'store_down',
        message: `The call to the store failed (${error.error.type}); nothing was changed.`,
      };
  }
}

/**
 * Validates input against a schema.
 *
 * @param schema - Schema of the input.
 * @param value - Body, query or parameters.
 * @returns The validated input, or an error with all findings.
 */
export function checkInput<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): E.Either<AdminError, z.output<Schema>> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return E.right(parsed.data);
  return E.left({
    type: 'invalid_request',
    message: 'The input does not have the expected form.',
    findings: parsed.error.issues.map(({ path, message }) => ({
      place: path.map(String).join('.'),
      message,
    })),
  });
}
