import {
  onceKeySchema,
  onceQuerySchema,
  onceSettlementBodySchema,
  timelineQuerySchema,
} from '@endivegate/contracts';
import type { FastifyInstance } from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { z } from 'zod';
import type { AdminPorts } from '../_lib/ports.ts';
import { checkInput, sendError, sendResult } from '../_lib/replies.ts';

const fingerprintParamsSchema = z.object({
  fingerprint: z.string().min(1).max(256),
});

/**
 * Registers the routes for members, claims, suspects, orders and the timeline.
 *
 * @param server - The operators' server.
 * @param ports - Functions of the entry.
 */
export function registerFleetRoutes(
  server: FastifyInstance,
  ports: AdminPorts,
): void {
  server.get('/v1/members', () => ports.members());
  server.get('/v1/orders', () => ports.orders());
  server.get('/v1/suspects', () => ports.suspects.list());
  server.delete('/v1/suspects/:fingerprint', async (request, reply) => {
    const params = checkInput(fingerprintParamsSchema, request.params);
    if (E.isLeft(params)) return sendError(reply, params.left);
    const { fingerprint } = params.right;
    return sendResult(reply, await ports.suspects.clear(fingerprint)());
  });
  server.get('/v1/timeline', async (request, reply) => {
    const query = checkInput(timelineQuerySchema, request.query);
    if (E.isLeft(query)) return sendError(reply, query.left);
    return sendResult(reply, await ports.timeline(query.right)());
  });
  registerOnceRoutes(server, ports);
}

function registerOnceRoutes(server: FastifyInstance, ports: AdminPorts): void {
  server.get('/v1/once', async (request, reply) => {
    const query = checkInput(onceQuerySchema, request.query);
    if (E.isLeft(query)) return sendError(reply, query.left);
    const listed = pipe(
      ports.once.list(query.right),
      TE.map((records) => ({ records })),
    );
    return sendResult(reply, await listed());
  });
  server.get('/v1/once/record', async (request, reply) => {
    const key = checkInput(onceKeySchema, request.query);
    if (E.isLeft(key)) return sendError(reply, key.left);
    return sendResult(reply, await ports.once.show(key.right)());
  });
  server.post('/v1/once/settlements', async (request, reply) => {
    const body = checkInput(onceSettlementBodySchema, request.body);
    if (E.isLeft(body)) return sendError(reply, body.left);
    return sendResult(reply, await ports.once.settle(body.right)());
  });
}
