import {
  casBodySchema,
  deleteBodySchema,
  getBodySchema,
  grantLeaseBodySchema,
  leaseIdBodySchema,
  listBodySchema,
  watchBodySchema,
  type InstanceList,
} from '@endivegate/contracts';
import type { FastifyInstance } from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import { z } from 'zod';
import type { PlatformModel } from '../../createPlatformModel/index.ts';
import type { CallServer } from './createCallServer.ts';
import type { Watches } from './createWatches.ts';

/** Options of {@link addStoreRoutes}. */
export interface StoreRoutesOptions {
  readonly model: PlatformModel;
  readonly watches: Watches;
  readonly calls: CallServer;
  readonly instances: () => InstanceList;
}

/**
 * Adds the routes of the key-value service and the instance list.
 *
 * @param app - Server of the platform.
 * @param options - The store, its watches, the call server and the instance list.
 */
export function addStoreRoutes(
  app: FastifyInstance,
  options: StoreRoutesOptions,
): void {
  const { model, watches, instances } = options;
  const { serve } = options.calls;
  const nowMs = (): number => performance.now();

  const get = serve({
    kind: 'read',
    schema: getBodySchema,
    run: ({ key }) => E.right({ found: model.get(key) ?? null }),
  });
  const list = serve({
    kind: 'read',
    schema: listBodySchema,
    run: ({ prefix, limit }) => E.right({ found: model.list(prefix, limit) }),
  });
  const compareAndSwap = serve({
    kind: 'write',
    schema: casBodySchema,
    run: (put) => model.compareAndSwap(put, nowMs()),
  });
  const compareAndDelete = serve({
    kind: 'write',
    schema: deleteBodySchema,
    run: (entry) => E.map(() => ({}))(model.compareAndDelete(entry)),
  });
  const watch = serve({
    kind: 'read',
    schema: watchBodySchema,
    run: async (query, reply) => E.right(await watches.wait(query, reply.raw)),
  });
  const grant = serve({
    kind: 'write',
    schema: grantLeaseBodySchema,
    run: ({ ttlMs }) => E.right(model.grantLease(ttlMs, nowMs())),
  });
  const renew = serve({
    kind: 'write',
    schema: leaseIdBodySchema,
    run: ({ leaseId }) => model.renewLease(leaseId, nowMs()),
  });
  const revoke = serve({
    kind: 'write',
    schema: leaseIdBodySchema,
    run: ({ leaseId }) => {
      model.revokeLease(leaseId);
      return E.right({});
    },
  });
  const readInstances = serve({
    kind: 'read',
    schema: z.object({}),
    run: () => E.right(instances()),
  });

  app.post('/v1/kv/get', get);
  app.post('/v1/kv/list', list);
  app.post('/v1/kv/cas', compareAndSwap);
  app.post('/v1/kv/delete', compareAndDelete);
  app.post('/v1/kv/watch', watch);
  app.post('/v1/leases/grant', grant);
  app.post('/v1/leases/renew', renew);
  app.post('/v1/leases/revoke', revoke);
  app.post('/v1/instances', readInstances);
}
