import type { FastifyReply } from 'fastify';
import type { z } from 'zod';

/**
 * Parses a request body, or replies with status 400 and the validation errors.
 *
 * @param schema - Schema of the body.
 * @param body - Body as received.
 * @param reply - Reply to the request.
 * @returns The parsed body, or `undefined` when the error was sent.
 */
export function parseBody<Schema extends z.ZodType>(
  schema: Schema,
  body: unknown,
  reply: FastifyReply,
): z.output<Schema> | undefined {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  void reply
    .code(400)
    .header('x-ran', 'no')
    .send({ ran: 'no', reason: parsed.error.message });
  return undefined;
}
