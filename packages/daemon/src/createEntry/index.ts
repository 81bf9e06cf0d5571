import { randomUUID } from 'node:crypto';
import type { AddressInfo } from 'node:net';
import type {
  EnginePort,
  EntryAddress,
  PlatformPort,
  ServicePort,
  Settings,
} from '@endivegate/contracts';
import type { RootEffect, RootEvent } from '@endivegate/core';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { createAttemptRunner } from '../createAttemptRunner/index.ts';
import { createCallersServer } from '../createCallersServer/index.ts';
import { createEntryView } from '../createEntryView/index.ts';
import type { Logger } from '../createLogger/index.ts';
import { createMetrics, type Metrics } from '../createMetrics/index.ts';
import { createOnceHandler } from '../once/index.ts';
import { createOpenRequests } from '../openRequests/index.ts';
import { pollInstances } from '../pollInstances/index.ts';
import { recordEnd, recordMetrics } from '../recordMetrics/index.ts';
import { createRoutingHandler } from '../routing/index.ts';
import { createRuntime, type Runtime } from '../runtime/index.ts';
import { createTableHandler } from '../table/index.ts';

/** What an entry talks to. */
export interface EntryPorts {
  readonly engines: EnginePort;
  readonly services: ServicePort;
  readonly platform: PlatformPort;
}

/** Options of {@link createEntry}. */
export interface CreateEntryOptions {
  readonly settings: Settings;
  readonly operatorToken: string;
  readonly ports: EntryPorts;
  readonly logger: Logger;
}

/** One running entry. */
export interface Entry {
  readonly self: EntryAddress;
  readonly callersUrl: string;
  readonly runtime: Runtime;
  readonly metrics: Metrics;
  /** Names what keeps the entry from being ready; empty when ready. */
  readonly unreadyReasons: () => readonly string[];
  readonly stop: () => Promise<void>;
}

const TICK_PERIOD_MS = 100;

/**
 * Starts an entry: its servers, its event loop and its timers.
 *
 * @param options - Settings, ports and logger.
 * @returns The running entry, listening.
 */
export async function createEntry(options: CreateEntryOptions): Promise<Entry> {
  const { settings, ports, logger } = options;
  const metrics = createMetrics();
  const openRequests = createOpenRequests({
    onFinish: ({ info }, result) => {
      recordEnd(metrics, { info, result, nowMs: runtime.nowMs() });
    },
  });
  const self = addressOf(settings);
  const table = createTableHandler({
    platform: ports.platform,
    peers: {
      fetchHead: () => TE.right(undefined),
      fetchValues: () => TE.right([]),
    },
    announce: (number) => {
      logger.info('table.inForce', { number });
    },
  });
  const runtime: Runtime = createRuntime({
    handlers: {
      clock: logClockEffect(logger),
      requests: createAttemptRunner({
        engines: ports.engines,
        services: ports.services,
        openRequests,
        metrics,
        findTarget: (targetId) => view.findTarget(targetId),
      }),
      once: createOnceHandler({
        platform: ports.platform,
        services: ports.services,
        findTarget: (targetId) => view.findTarget(targetId),
      }),
      table: table.handle,
      routing: createRoutingHandler({
        engines: ports.engines,
        findTarget: (targetId) => view.findTarget(targetId),
        notifyPeer: () => Promise.resolve(false),
        onUnfreed: (targetId, reservationId) => {
          logger.warn('reservation.unfreed', { targetId, reservationId });
        },
      }),
    },
    onEvent: (event) => {
      recordMetrics(metrics, { event, openRequests });
      logEvent(logger, event);
    },
    onEffectError: (slice, error) => {
      metrics.effectErrors.inc({ slice });
      logger.error('effect.failed', { slice, reason: String(error) });
    },
  });
  const view = createEntryView({
    state: runtime.state,
    self,
    liveEntries: () => [self],
    entriesTtlMs: settings.callers.entriesTtlMs,
  });
  const server = createCallersServer(
    {
      ...view,
      runtime,
      openRequests,
      metrics,
      unreadyReasons: () => unreadyReasons(runtime),
      newRequestId: () => `${self.entryId}-${randomUUID()}`,
      maxOpenRequests: settings.callers.maxOpenRequests,
    },
    settings.callers,
  );
  const listenHost = settings.listenHost ?? settings.host;
  await server.listen({ port: settings.callers.port, host: listenHost });
  const { port } = server.server.address() as AddressInfo;
  const listening = { ...self, httpPort: port };
  runtime.dispatch({ type: 'entry.started', self: listening });
  runtime.dispatch({
    type: 'members.changed',
    live: [listening],
    leaving: [],
    dead: [],
  });
  const ticks = setInterval(() => {
    runtime.dispatch({ type: 'clock.ticked' });
  }, TICK_PERIOD_MS);
  const stopPolling = pollInstances({
    platform: ports.platform,
    onList: (list) => {
      runtime.dispatch({ type: 'targets.listed', targets: list.targets });
    },
    onError: (error) => {
      logger.warn('instances.unread', { reason: error.type });
    },
  });
  logger.info('entry.listening', { port });

  return {
    self: listening,
    callersUrl: `http://${settings.host}:${port}`,
    runtime,
    metrics,
    unreadyReasons: () => unreadyReasons(runtime),
    stop: async () => {
      clearInterval(ticks);
      stopPolling();
      await server.close();
    },
  };
}

function addressOf(settings: Settings): EntryAddress {
  return {
    entryId: settings.entryId,
    incarnation: Date.now(),
    region: settings.region,
    dataCentre: settings.dataCentre,
    host: settings.host,
    httpPort: settings.callers.port,
    peerPort: settings.peers.port,
  };
}

function unreadyReasons(runtime: Runtime): readonly string[] {
  const state = runtime.state();
  return [
    state.table.document === undefined ? 'no table is in force' : '',
    state.targets.byId.size === 0 ? 'no target is known' : '',
  ].filter((reason) => reason !== '');
}

function logClockEffect(logger: Logger): (effect: RootEffect) => void {
  return (effect) => {
    if (effect.type !== 'clock.pauseSeen') return;
    logger.warn('entry.paused', { pausedMs: Math.round(effect.pausedMs) });
  };
}

function logEvent(logger: Logger, event: RootEvent): void {
  if (event.type !== 'request.ended') return;
  logger.debug('request.ended', {
    requestId: event.requestId,
    ran: event.ran,
    end: event.end.type,
  });
}
