import { randomUUID } from 'node:crypto';
import type { AddressInfo } from 'node:net';
import type { EntryAddress } from '@endivegate/contracts';
import {
  countOpenClaims,
  decideNewRequest,
  listLiveEntries,
} from '@endivegate/core';
import { createMeteredPlatform } from '../store/index.ts';
import type { FastifyInstance } from 'fastify';
import { startAdminServer } from '../admin/index.ts';
import { createAdminPorts } from '../createAdminPorts/index.ts';
import {
  createCallersServer,
  refuseLeaving,
} from '../createCallersServer/index.ts';
import { createEntryView, type EntryView } from '../createEntryView/index.ts';
import { createMetrics, type Metrics } from '../createMetrics/index.ts';
import { createTablePeers } from '../createTablePeers/index.ts';
import { learnFromSeeds } from '../learnFromSeeds/index.ts';
import { fromPeerUpdate } from '../membership/index.ts';
import { createOpenRequests } from '../createOpenRequests/index.ts';
import { recordEnd, recordMetrics } from '../recordMetrics/index.ts';
import { registerRelay } from '../relay/index.ts';
import { createRuntime, type Runtime } from '../runtime/index.ts';
import { type Peering, startPeering } from '../startPeering/index.ts';
import { createSuspectsHandler } from '../suspects/index.ts';
import { createTableHandler, type TablePeerPort } from '../table/index.ts';
import { createTimeline } from '../timeline/index.ts';
import { createHandlers } from './_lib/createHandlers.ts';
import { createPeerHandlers } from './_lib/createPeerHandlers.ts';
import { createNotifyPeer, createTopics } from './_lib/createPeerMessages.ts';
import { describeSelf } from './_lib/describeSelf.ts';
import { listUnreadyReasons } from './_lib/listUnreadyReasons.ts';
import { logEvent } from './_lib/logEvents.ts';
import type { CreateEntryOptions, EntryPorts } from './types.ts';

export type { CreateEntryOptions, EntryPorts } from './types.ts';

/** One running entry. */
export interface Entry {
  readonly self: EntryAddress;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly runtime: Runtime;
  readonly metrics: Metrics;
  /** Names what keeps the entry from being ready; empty when ready. */
  readonly unreadyReasons: () => readonly string[];
  /** Starts to leave; a second call exits at once. */
  readonly leave: () => void;
  /** Closes all sockets at once, as a crash would. */
  readonly stop: () => Promise<void>;
}

const TICK_PERIOD_MS = 100;

/**
 * Starts an entry: its servers, its event loop and its timers.
 *
 * @param options - Settings, ports and logger.
 * @returns The running entry, listening.
 * @throws If a port cannot be bound.
 */
export async function createEntry(options: CreateEntryOptions): Promise<Entry> {
  const { settings, logger } = options;
  const listenHost = settings.listenHost ?? settings.host;
  const unbound = describeSelf(settings, Date.now());
  const metrics = createMetrics();
  const ports: EntryPorts = {
    ...options.ports,
    platform: createMeteredPlatform(options.ports.platform, metrics),
  };
  const timeline = createTimeline({ entryId: unbound.entryId });
  const openRequests = createOpenRequests({
    onFinish: ({ info }, result) => {
      recordEnd(metrics, { info, result, nowMs: runtime.nowMs() });
    },
  });
  const table = createTableHandler({
    platform: ports.platform,
    peers: tablePeers(
      () => peering,
      () => runtime,
    ),
    announce: () => undefined,
  });
  const peering = await startPeering({
    self: unbound,
    listenHost,
    peers: settings.peers,
    key: options.peerKey,
    clock: timeline,
    handlers: createPeerHandlers({
      runtime: () => runtime,
      table,
      timeline,
      topics: createTopics({ runtime: () => runtime }),
      callersUrl: () => callersUrl,
      maxBodyBytes: settings.callers.maxBodyBytes,
    }),
    onSuperseded: (incarnation) => {
      logger.error('entry.superseded', { incarnation });
      runtime.dispatch({ type: 'leaving.requested' });
    },
  });
  const suspects = createSuspectsHandler({ platform: ports.platform });
  const askSeeds = createAskSeeds({
    seeds: settings.peers.seeds,
    runtime: () => runtime,
    peering,
  });
  const runtime: Runtime = createRuntime({
    handlers: createHandlers({
      ...options,
      ports,
      metrics,
      openRequests,
      peering,
      table,
      suspects,
      findTarget: (targetId) => view.findTarget(targetId),
      countOpenClaims: () => countOpenClaims(runtime.state().once),
      onListUnread: (error) => {
        logger.warn('instances.unread', { reason: error.type });
        const { members } = runtime.state().membership;
        if (members.size === 0) askSeeds();
      },
      notifyPeer: createNotifyPeer({
        runtime: () => runtime,
        client: () => peering.client,
      }),
    }),
    onEvent: (event) => {
      recordMetrics(metrics, { event, openRequests });
      timeline.record(event);
      logEvent(logger, event);
    },
    onEffectError: (slice, error) => {
      metrics.effectErrors.inc({ slice });
      logger.error('effect.failed', { slice, reason: String(error) });
    },
  });
  const view = createEntryView({
    state: runtime.state,
    self: unbound,
    liveEntries: () => listLiveEntries(runtime.state().membership),
    entriesTtlMs: settings.callers.entriesTtlMs,
  });
  const unreadyReasons = () => listUnreadyReasons(runtime.state());
  const server = createCallersServer(
    {
      ...view,
      runtime,
      openRequests,
      metrics,
      unreadyReasons,
      newRequestId: () => `${unbound.entryId}-${randomUUID()}`,
      maxOpenRequests: settings.callers.maxOpenRequests,
    },
    settings.callers,
  );
  relayToHomes(server, { view, runtime, peering });
  await server.listen({ port: settings.callers.port, host: listenHost });
  const { port } = server.server.address() as AddressInfo;
  const callersUrl = `http://${settings.host}:${port}`;
  const self = { ...unbound, httpPort: port, peerPort: peering.port };
  peering.membership.attach(runtime);
  runtime.dispatch({
    type: 'leaving.configured',
    lingerMs: settings.callers.entriesTtlMs,
    drainTimeoutMs: settings.leaving.drainTimeoutMs,
  });
  runtime.dispatch({ type: 'entry.started', self });
  const admin = await startAdminServer({
    host: listenHost,
    port: settings.operators.port,
    token: options.operatorToken,
    ports: createAdminPorts({
      runtime,
      platform: ports.platform,
      table,
      timeline,
      client: peering.client,
    }),
  });
  const operatorsPort = (admin.server.address() as AddressInfo).port;
  const stopTimers = startTimers({ runtime, askSeeds });
  const stopFollowing = suspects.follow(runtime);
  logger.info('entry.listening', {
    port,
    operatorsPort,
    peerPort: peering.port,
  });

  return {
    self,
    callersUrl,
    operatorsUrl: `http://${settings.host}:${operatorsPort}`,
    runtime,
    metrics,
    unreadyReasons,
    leave: () => {
      runtime.dispatch({ type: 'leaving.requested' });
    },
    stop: async () => {
      stopTimers();
      stopFollowing();
      server.server.closeAllConnections();
      admin.server.closeAllConnections();
      await Promise.all([server.close(), admin.close(), peering.close()]);
    },
  };
}

function tablePeers(
  peering: () => Peering,
  runtime: () => Runtime,
): TablePeerPort {
  return createTablePeers({
    client: {
      fetchManifest: (...args) => peering().client.fetchManifest(...args),
      fetchChunks: (...args) => peering().client.fetchChunks(...args),
    },
    findEntry: (entryId) =>
      runtime().state().membership.members.get(entryId)?.address,
  });
}

function relayToHomes(
  server: FastifyInstance,
  entry: {
    readonly view: EntryView;
    readonly runtime: Runtime;
    readonly peering: Peering;
  },
): void {
  registerRelay(server, {
    client: entry.peering.client,
    decide: () => decideNewRequest(entry.runtime.state().leaving),
    homesFor: (request) => entry.view.relayHomesFor(request.headers),
    refuse: refuseLeaving,
  });
}

function startTimers(entry: {
  readonly runtime: Runtime;
  readonly askSeeds: () => void;
}): () => void {
  const ticks = setInterval(() => {
    entry.runtime.dispatch({ type: 'clock.ticked' });
  }, TICK_PERIOD_MS);
  entry.askSeeds();
  return () => {
    clearInterval(ticks);
  };
}

function createAskSeeds(entry: {
  readonly seeds: readonly string[];
  readonly runtime: () => Runtime;
  readonly peering: Peering;
}): () => void {
  return () => {
    void learnFromSeeds({
      seeds: entry.seeds,
      client: entry.peering.client,
      onMembers: (updates) => {
        entry.runtime().dispatch({
          type: 'membership.fetched',
          updates: updates.flatMap((wire) => fromPeerUpdate(wire) ?? []),
        });
      },
    });
  };
}
