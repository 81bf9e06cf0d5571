import { instanceListSchema, type InstanceList } from '@endivegate/contracts';
import type { FastifyInstance } from 'fastify';
import {
  createStandInServer,
  type StandInServerOptions,
} from '../_lib/createStandInServer.ts';
import { parseBody } from '../_lib/parseBody.ts';
import { createPlatformModel } from '../createPlatformModel/index.ts';
import { createRandom } from '../createRandom/index.ts';
import { addStoreRoutes } from './_lib/addStoreRoutes.ts';
import {
  createCallServer,
  type PlatformCounts,
} from './_lib/createCallServer.ts';
import { createWatches } from './_lib/createWatches.ts';
import {
  NO_PLATFORM_FAULTS,
  platformFaultsSchema,
  type PlatformFaults,
} from './_lib/faults.ts';

export type { PlatformCounts } from './_lib/createCallServer.ts';
export type { PlatformFaults } from './_lib/faults.ts';

/** Options of {@link startPlatformStandIn}. */
export interface StartPlatformStandInOptions extends StandInServerOptions {
  readonly readsPerSecond?: number;
  readonly writesPerSecond?: number;
  readonly instances?: InstanceList;
  /** Time from a change of the instance list until readers see it. */
  readonly instancesLagMs?: number;
  readonly seed?: number;
  readonly faults?: Partial<PlatformFaults>;
}

/** The platform's services over HTTP. */
export interface PlatformStandIn {
  readonly url: string;
  readonly close: () => Promise<void>;
  readonly setFaults: (faults: Partial<PlatformFaults>) => Promise<void>;
  /** Sets the instance list, which readers see after its lag. */
  readonly setInstances: (instances: InstanceList) => void;
  /** Ends every lease at once. */
  readonly expireAllLeases: () => void;
  readonly silenceOpenConnections: () => void;
  readonly counts: () => PlatformCounts;
}

const DEFAULTS = {
  readsPerSecond: 2_000,
  writesPerSecond: 400,
  instances: { entries: [], targets: [] } satisfies InstanceList,
  instancesLagMs: 0,
  seed: 1,
} as const;

/** Interval at which lapsed leases are ended. */
const LEASE_CHECK_INTERVAL_MS = 50;

/**
 * Starts a stand-in of the platform: key-value service and instance list.
 *
 * @param options - Where to listen, rates, instances and faults.
 * @returns The running stand-in.
 *
 * @example
 * const platform = await startPlatformStandIn({ instances });
 * await platform.close();
 */
export async function startPlatformStandIn(
  options: StartPlatformStandInOptions = {},
): Promise<PlatformStandIn> {
  const settings = { ...DEFAULTS, ...options };
  const server = createStandInServer(options);
  const instances = createInstances(settings);
  let faults: PlatformFaults = { ...NO_PLATFORM_FAULTS, ...options.faults };
  const calls = createCallServer({
    ...settings,
    server,
    faults: () => faults,
    random: createRandom(settings.seed),
  });
  const model = createPlatformModel({
    onChange: () => {
      watches.wake();
    },
  });
  const watches = createWatches(({ prefix, afterRevision }) =>
    model.changesAfter(prefix, afterRevision),
  );
  const leaseTimer = setInterval(() => {
    model.expireLeases(performance.now());
  }, LEASE_CHECK_INTERVAL_MS);

  async function setFaults(change: {
    readonly [K in keyof PlatformFaults]?: unknown;
  }): Promise<void> {
    faults = platformFaultsSchema.parse({ ...faults, ...change });
    if (faults.isDown) server.goDown();
    else await server.comeBack();
  }

  addStoreRoutes(server.app, {
    model,
    watches,
    calls,
    instances: instances.read,
  });
  addSwitchRoutes(server.app, {
    setInstances: instances.set,
    setFaults,
    faults: () => faults,
    counts: calls.counts,
    expireAllLeases: model.expireAllLeases,
  });
  await server.listen();
  if (faults.isDown) server.goDown();
  return {
    url: server.url(),
    close: async () => {
      clearInterval(leaseTimer);
      await server.close();
    },
    setFaults,
    setInstances: instances.set,
    expireAllLeases: model.expireAllLeases,
    silenceOpenConnections: server.silenceOpenConnections,
    counts: calls.counts,
  };
}

/** Adds the switches of the stand-in itself, which no limit counts. */
function addSwitchRoutes(
  app: FastifyInstance,
  options: {
    readonly setInstances: (list: InstanceList) => void;
    readonly setFaults: (change: {
      readonly [K in keyof PlatformFaults]?: unknown;
    }) => Promise<void>;
    readonly faults: () => PlatformFaults;
    readonly counts: () => PlatformCounts;
    readonly expireAllLeases: () => void;
  },
): void {
  app.put('/instances', (request, reply) => {
    const list = parseBody(instanceListSchema, request.body, reply);
    if (!list) return reply;
    options.setInstances(list);
    return reply.code(204).send();
  });
  app.get('/counts', options.counts);
  app.get('/faults', options.faults);
  app.put('/faults', async (request, reply) => {
    const schema = platformFaultsSchema.partial();
    const change = parseBody(schema, request.body, reply);
    if (!change) return reply;
    await reply.send(change);
    await options.setFaults(change);
    return reply;
  });
  app.post('/faults/lapse-leases', () => {
    options.expireAllLeases();
    return {};
  });
}

function createInstances(settings: {
  readonly instances: InstanceList;
  readonly instancesLagMs: number;
}): {
  readonly read: () => InstanceList;
  readonly set: (list: InstanceList) => void;
} {
  let lists: readonly { list: InstanceList; shownAtMs: number }[] = [
    { list: settings.instances, shownAtMs: 0 },
  ];
  return {
    read: () => {
      const nowMs = performance.now();
      const shown = lists.findLast(({ shownAtMs }) => shownAtMs <= nowMs);
      return shown?.list ?? settings.instances;
    },
    set: (list) => {
      const shownAtMs = performance.now() + settings.instancesLagMs;
      lists = [...lists, { list, shownAtMs }];
    },
  };
}
