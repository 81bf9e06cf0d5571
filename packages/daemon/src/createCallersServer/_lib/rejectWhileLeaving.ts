import type { NewRequestRefusal } from '@endivegate/core';
import type { FastifyReply } from 'fastify';
import { describeEnd } from './describeEnd.ts';
import { sendError } from './errors.ts';

/**
 * Rejects a request that a leaving entry does not accept, as not run.
 *
 * @param reply - The reply that receives the error.
 * @param refusal - The reason and the delay before a retry.
 * @returns The reply, sent.
 */
export function rejectWhileLeaving(
  reply: FastifyReply,
  refusal: NewRequestRefusal,
): FastifyReply {
  const end = describeEnd({ ...refusal, type: 'refused' });
  return sendError(reply, { ...end, requestId: reply.request.id, ran: 'no' });
}
