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
import { countOpenAnswers } from '../countOpenAnswers/index.ts';
import { createAdminPorts } from '../createAdminPorts/index.ts';
import {
  createCallersServer,
  rejectWhileLeaving,
} from '../createCallersServer/index.ts';
import { createEntryView, type EntryView } from '../createEntryView/index.ts';
import { createMetrics, type Metrics } from '../createMetrics/index.ts';
import { createTablePeers } from '../createTablePeers/index.ts';
import { fetchSeedMembers } from '../fetchSeedMembers/index.ts';
import { fromWireUpdate } from '../membership/index.ts';
import { createOpenRequests } from '../createOpenRequests/index.ts';
import { recordMetrics, recordRequestEnd } from '../recordMetrics/index.ts';
import { type OpenRelays, registerRelay } from '../relay/index.ts';
import { createRuntime, type Runtime } from '../runtime/index.ts';
import { type Peering, startPeering } from '../startPeering/index.ts';
import { createSuspectsHandler } from '../suspects/index.ts';
import { createTableHandler, type TablePeerPort } from '../table/index.ts';
import { createTimeline } from '../timeline/index.ts';
import { createHandlers } from './_lib/createHandlers.ts';
import { createPeerHandlers } from './_lib/createPeerHandlers.ts';
import {
  createNotifyPeer,
  createNotifyTopics,
} from './_lib/createPeerMessages.ts';
import { createSelfAddress } from './_lib/createSelfAddress.ts';
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
  /** Returns the reasons why the entry is not ready; empty when it is. */
  readonly unreadyReasons: () => readonly string[];
  /** Starts to leave gracefully; a second call exits immediately. */
  readonly leave: () => void;
  /** Closes all sockets immediately, as in a crash. */
  readonly stop: () => Promise<void>;
}

const TICK_PERIOD_MS = 100;

/**
 * Starts an entry with its servers, event loop and timers.
 *
 * @param options - Settings, ports and logger.
 * @returns The running entry, whose servers are listening.
 * @throws If a port cannot be bound.
 */
export async function createEntry(options: CreateEntryOptions): Promise<Entry> {
  const { settings, logger } = options;
  const listenHost = settings.listenHost ?? settings.host;
  const configuredSelf = createSelfAddress(settings, Date.now());
  const metrics = createMetrics();
  const ports: EntryPorts = {
    ...options.ports,
    platform: createMeteredPlatform(options.ports.platform, metrics),
  };
  const timeline = createTimeline({ entryId: configuredSelf.entryId });
  const openRequests = createOpenRequests({
    onFinish: ({ info }, result) => {
      recordRequestEnd(metrics, { info, result, nowMs: runtime.nowMs() });
    },
  });
  const table = createTableHandler({
    platform: ports.platform,
    peers: createTablePeerPort(
      () => peering,
      () => runtime,
    ),
    announce: () => undefined,
  });
  const peering = await startPeering({
    self: configuredSelf,
    listenHost,
    peers: settings.peers,
    key: options.peerKey,
    clock: timeline,
    handlers: createPeerHandlers({
      runtime: () => runtime,
      table,
      timeline,
      topics: createNotifyTopics({ runtime: () => runtime }),
      callersUrl: () => callersUrl,
      maxBodyBytes: settings.callers.maxBodyBytes,
    }),
    onSuperseded: (incarnation) => {
      logger.error('entry.superseded', { incarnation });
      runtime.dispatch({ type: 'leaving.requested' });
    },
  });
  const suspects = createSuspectsHandler({ platform: ports.platform });
  const querySeeds = createSeedQuery({
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
      countOpenAnswers: () => openAnswers(),
      breakOffRelays: () => {
        relays.breakOff();
      },
      onInstanceListError: (error) => {
        logger.warn('instances.unread', { reason: error.type });
        const { members } = runtime.state().membership;
        if (members.size === 0) querySeeds();
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
    self: configuredSelf,
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
      newRequestId: () => `${configuredSelf.entryId}-${randomUUID()}`,
      maxOpenRequests: settings.callers.maxOpenRequests,
    },
    settings.callers,
  );
  const openAnswers = countOpenAnswers(server);
  const relays = registerHomeRelay(server, { view, runtime, peering });
  await server.listen({ port: settings.callers.port, host: listenHost });
  const { port } = server.server.address() as AddressInfo;
  const callersUrl = `http://${settings.host}:${port}`;
  const self = { ...configuredSelf, httpPort: port, peerPort: peering.port };
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
  const stopTimers = startTimers({ runtime, openAnswers, querySeeds });
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

function createTablePeerPort(
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

function registerHomeRelay(
  server: FastifyInstance,
  entry: {
    readonly view: EntryView;
    readonly runtime: Runtime;
    readonly peering: Peering;
  },
): OpenRelays {
  return registerRelay(server, {
    client: entry.peering.client,
    decide: () => decideNewRequest(entry.runtime.state().leaving),
    homesFor: (request) => entry.view.relayHomesFor(request.headers),
    refuse: rejectWhileLeaving,
  });
}

function startTimers(entry: {
  readonly runtime: Runtime;
  readonly openAnswers: () => number;
  readonly querySeeds: () => void;
}): () => void {
  const tickTimer = setInterval(() => {
    reportOpenAnswers(entry);
    entry.runtime.dispatch({ type: 'clock.ticked' });
  }, TICK_PERIOD_MS);
  entry.querySeeds();
  return () => {
    clearInterval(tickTimer);
  };
}

/** Tells an entry that leaves how many answers are open, when the number has changed. */
function reportOpenAnswers(entry: {
  readonly runtime: Runtime;
  readonly openAnswers: () => number;
}): void {
  const { leaving } = entry.runtime.state();
  const openAnswers = entry.openAnswers();
  if (leaving.phase !== 'leaving' || openAnswers === leaving.openAnswers) {
    return;
  }
  entry.runtime.dispatch({ type: 'leaving.answersCounted', openAnswers });
}

function createSeedQuery(entry: {
  readonly seeds: readonly string[];
  readonly runtime: () => Runtime;
  readonly peering: Peering;
}): () => void {
  return () => {
    void fetchSeedMembers({
      seeds: entry.seeds,
      client: entry.peering.client,
      onMembers: (updates) => {
        entry.runtime().dispatch({
          type: 'membership.fetched',
          updates: updates.flatMap((wire) => fromWireUpdate(wire) ?? []),
        });
      },
    });
  };
}
