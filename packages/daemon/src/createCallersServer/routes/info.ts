import type { FastifyInstance } from 'fastify';
import { authenticate } from '../_lib/authenticate.ts';
import type { CallersContext } from '../_lib/context.ts';

/**
 * Registers the routes for models, entries, health, readiness and metrics.
 *
 * @param server - The callers' server.
 * @param context - The entry.
 */
export function registerInfoRoutes(
  server: FastifyInstance,
  context: CallersContext,
): void {
  server.get('/v1/models', (request, reply) => {
    if (authenticate(context, request, reply) === undefined) return reply;
    const data = context.models().map((id) => ({ id, object: 'model' }));
    return reply.send({ object: 'list', data });
  });
  server.get<{ Querystring: { dataCentre?: string } }>(
    '/v1/entries',
    (request, reply) => {
      const workspace = authenticate(context, request, reply);
      if (workspace === undefined) return reply;
      return reply.send(
        context.entriesFor(workspace, request.query.dataCentre),
      );
    },
  );
  server.get('/healthz', (_request, reply) => reply.send({ status: 'ok' }));
  server.get('/readyz', (_request, reply) => {
    const reasons = context.unreadyReasons();
    return reply
      .code(reasons.length === 0 ? 200 : 503)
      .send({ ready: reasons.length === 0, reasons });
  });
  server.get('/metrics', async (_request, reply) => {
    const { registry } = context.metrics;
    const text = await registry.metrics();
    return reply.header('content-type', registry.contentType).send(text);
  });
}
