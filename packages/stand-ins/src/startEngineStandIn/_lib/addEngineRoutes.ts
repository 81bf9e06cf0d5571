import {
  ATTEMPT_ID_HEADER,
  engineOrderSchema,
  RAN_HEADER,
  reservationRequestSchema,
  type TargetError,
} from '@endivegate/contracts';
import type { FastifyInstance, FastifyReply } from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import { parseBody } from '../../_lib/parseBody.ts';
import type { EngineModel } from '../../createEngineModel/index.ts';
import type { EngineClock } from './createEngineClock.ts';
import type { Orders } from './createOrders.ts';

/** Options of {@link addEngineRoutes}. */
export interface EngineRoutesOptions {
  readonly model: EngineModel;
  readonly clock: EngineClock;
  readonly orders: Orders;
  readonly timeScale: number;
  readonly cancel: (attemptId: string) => void;
}

/** Path parameter of a route about one attempt or reservation. */
export interface IdRoute {
  Params: { id: string };
}

/**
 * Adds the routes of an engine that do not stream.
 *
 * @param app - Server of the engine.
 * @param options - The model, its clock, its orders and how to cancel an attempt.
 */
export function addEngineRoutes(
  app: FastifyInstance,
  options: EngineRoutesOptions,
): void {
  const { model, clock, orders, timeScale } = options;
  const octets = 'application/octet-stream';
  app.addContentTypeParser(octets, { parseAs: 'buffer' }, (_, body, done) => {
    done(null, body);
  });

  app.get('/v1/attempts', () => model.attemptIds());
  app.get<IdRoute>('/v1/attempts/:id', (request, reply) =>
    reply
      .header(ATTEMPT_ID_HEADER, request.params.id)
      .send(model.report(request.params.id)),
  );
  app.delete<IdRoute>('/v1/attempts/:id', (request, reply) => {
    options.cancel(request.params.id);
    return reply.code(204).send();
  });
  app.get<IdRoute>('/v1/attempts/:id/kv', (request, reply) => {
    const kv = model.exportKv(request.params.id);
    if (E.isLeft(kv)) return sendRefusal(reply, kv.left);
    return reply.type(octets).send(Buffer.from(kv.right));
  });
  app.put<IdRoute>('/v1/attempts/:id/kv', (request, reply) => {
    const kv = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    return sendResult(reply, model.importKv(request.params.id, kv));
  });

  app.get('/v1/reservations', () =>
    model.listReservations(clock.nowMs()).map((reservation) => ({
      ...reservation,
      ageMs: reservation.ageMs / timeScale,
      lifetimeMs: reservation.lifetimeMs / timeScale,
    })),
  );
  app.put<IdRoute>('/v1/reservations/:id', (request, reply) => {
    const body = parseBody(reservationRequestSchema, request.body, reply);
    if (!body) return reply;
    const reservation = {
      reservationId: request.params.id,
      tokens: body.tokens,
      lifetimeMs: body.lifetimeMs * timeScale,
    };
    return sendResult(reply, model.reserve(reservation, clock.nowMs()));
  });
  app.delete<IdRoute>('/v1/reservations/:id', (request, reply) => {
    model.free(request.params.id, clock.nowMs());
    clock.reschedule();
    return reply.code(204).send();
  });

  app.get<{ Querystring: { after?: string } }>('/v1/cache-events', (request) =>
    model.cacheEvents(Number(request.query.after ?? 0), clock.nowMs()),
  );
  app.get('/v1/load', () => {
    const report = model.load(clock.nowMs());
    return { ...report, ageMs: report.ageMs / timeScale };
  });
  app.get('/v1/assignment', () => orders.assignment());
  app.post('/v1/orders', (request, reply) => {
    const order = parseBody(engineOrderSchema, request.body, reply);
    if (!order) return reply;
    return sendResult(reply, orders.accept(order));
  });
}

/**
 * Replies that a call was refused and did not run.
 *
 * @param reply - Reply to the call.
 * @param error - Why it was refused.
 * @returns The reply, sent.
 */
export function sendRefusal(
  reply: FastifyReply,
  error: TargetError,
): FastifyReply {
  const { reason, retryAfterMs } =
    error.type === 'refused'
      ? error
      : { reason: error.type, retryAfterMs: undefined };
  return reply
    .code(503)
    .header(RAN_HEADER, 'no')
    .send({ ran: 'no', reason, retryAfterMs });
}

function sendResult(
  reply: FastifyReply,
  result: E.Either<TargetError, void>,
): FastifyReply {
  return E.isLeft(result)
    ? sendRefusal(reply, result.left)
    : reply.code(204).send();
}
