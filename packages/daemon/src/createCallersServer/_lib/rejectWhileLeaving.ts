import type { NewRequestRefusal } from '@endivegate/core';
import type { FastifyReply } from 'fastify';
import { describeEnd } from './describeEnd.ts';
import { sendError } from './errors.ts';

/**
 * Answers a request that a leaving entry does not take.
 *
 * @param reply - The reply to answer on.
 * @param refusal - Why, and when to come back.
 * @returns The reply, sent; the request was not run.
 */
export function rejectWhileLeaving(
  reply: FastifyReply,
  refusal: NewRequestRefusal,
): FastifyReply {
  const end = describeEnd({ ...refusal, type: 'refused' });
  return sendError(reply, { ...end, requestId: reply.request.id, ran: 'no' });
}
