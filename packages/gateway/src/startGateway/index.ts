import type { Server } from 'node:http';
import {
  heldRemovals,
  limitShares,
  PROTOCOL_VERSION,
  sampleEntries,
  servingPeers,
  shutdownBudget,
  type PeerStatus,
} from '@endivegate/core/forwarding';
import {
  type Connect,
  createConnectionPool,
} from '../createConnectionPool/index.ts';
import { createAdmissionControl } from '../admissionControl/index.ts';
import { probeAddress } from '../probeAddress/index.ts';
import { createEvacuationWatch } from './_lib/evacuationWatch.ts';
import { informedEntries } from './_lib/informedEntries.ts';
import { finishRequests } from './_lib/finishRequests/index.ts';
import { createShutdownState } from './_lib/shutdownState.ts';
import { createSignalDelay, eventLoopBusyMs } from './_lib/signalDelay.ts';
import type { EventLog } from '../createEventLog/index.ts';
import { createColdTargetTicker } from '../coldTargetTicker/index.ts';
import { createCallerServer } from '../createCallerServer/index.ts';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import { createPeerLink, type PeerLink } from '../createPeerLink/index.ts';
import {
  createGatewayRuntime,
  type GatewayBounds,
  type GatewayRuntime,
} from '../gatewayRuntime/index.ts';
import type { HttpDialect } from '../httpDialect/index.ts';
import type { OrderPort } from '../orderPort/index.ts';
import { startReachProbe } from '../reachProbe/index.ts';
import { createRelayProbe } from '../relayProbe/index.ts';
import { createTargetDeaths } from '../targetDeaths/index.ts';
import { type CheckTarget, createTargetLoss } from '../targetLoss/index.ts';

/** Options of {@link startGateway}. */
export interface StartGatewayOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Capacity relative to other entries; 1 by default. */
  readonly weight?: number | undefined;
  /** IP and port at which callers connect. */
  readonly callerAddress: string;
  /** IP and port for traffic between entries, TCP and UDP. */
  readonly peerAddress: string;
  readonly seedAddresses: readonly string[];
  readonly bounds: GatewayBounds;
  readonly dialect: HttpDialect;
  readonly orders: OrderPort;
  /** Asks targets whether they are alive; connects to them by default. */
  readonly checkTarget?: CheckTarget;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Memory of the machine in bytes, part of which is for the bodies of requests; 250 MB by
   * default. */
  readonly memoryBytes?: number | undefined;
  /** Descriptors that the process may have open, part of which are for callers; 4,096 by
   * default. */
  readonly maxDescriptors?: number | undefined;
  /** Whether requests without capacity wait in a queue; false by default. */
  readonly queuesRequests?: boolean | undefined;
  /** Opens connections to targets; `connect` of `node:net` by default. */
  readonly connectTarget?: Connect;
  /** Monotonic time in ms. */
  readonly now?: () => number;
  /** Time in ms for which the process has been busy since its start, so that it handled no
   * signal; that of its event loop by default. */
  readonly busyMs?: () => number;
  readonly unixNow?: () => number;
}

/** A running gateway. */
export interface Gateway {
  readonly runtime: GatewayRuntime;
  readonly peers: PeerLink;
  /**
   * Whether this entry accepts traffic: it is not leaving and has a
   * configuration and targets.
   */
  readonly isReady: () => boolean;
  /**
   * Addresses of ready entries to name to one caller, sampled by capacity; not
   * empty while this entry is ready. Entries that reach no targets are left out
   * unless there are no others.
   */
  readonly callerAddresses: () => readonly string[];
  /**
   * Shuts down gracefully: tells the peers, finishes open requests within the
   * grace period, stops and then calls `done`.
   */
  readonly leave: (done: () => void) => void;
  /**
   * Stops immediately: closes the server, idle connections, peer link and pool.
   */
  readonly stop: () => void;
}

const TICK_INTERVAL_MS = 200;

/** How often limits are divided anew, which costs with the entries times the targets
 * that name one. */
const LIMIT_INTERVAL_MS = 1000;

/**
 * Starts a gateway: the server for callers and the link to its peers.
 *
 * @param options - Addresses, limits and the deployment's HTTP dialect.
 * @returns The running gateway. Configuration and targets are supplied through
 * its `runtime`.
 *
 * @example
 * const gateway = startGateway(options);
 * gateway.runtime.applyConfig(config, 'store');
 */
export function startGateway(options: StartGatewayOptions): Gateway {
  const { log, metrics, bounds, dialect } = options;
  const now = options.now ?? (() => performance.now());
  const unixNow = options.unixNow ?? Date.now;
  const startedAtUnixMs = unixNow();
  const runtime = createGatewayRuntime(log, { now });
  runtime.onConfig((_table, origin) => {
    metrics.configApplied(origin);
  });
  const { connectTarget } = options;
  const probe: typeof probeAddress = (address, done) => {
    probeAddress(address, done, connectTarget);
  };
  const pool = createConnectionPool({
    ...(connectTarget === undefined ? {} : { connectSocket: connectTarget }),
    onConnect() {
      metrics.connected();
      runtime.dispatch({ type: 'targetReach.connected' });
    },
  });
  const reachProbe = startReachProbe({ runtime, now, probe });
  const peerPool = createConnectionPool();
  const targetDeaths = createTargetDeaths({
    runtime,
    log,
    metrics,
    now,
    probe,
  });
  const { checkTarget } = options;
  const targetLoss = createTargetLoss({
    ...{ runtime, log, now, probe, orders: options.orders },
    ...(checkTarget === undefined ? {} : { checkTarget }),
  });
  const admission =
    options.queuesRequests === true
      ? createAdmissionControl({ runtime, log, metrics, now })
      : undefined;
  const budget = shutdownBudget(bounds);
  const shutdown = createShutdownState({ budget, now });
  const signalDelay = createSignalDelay(options.busyMs ?? eventLoopBusyMs);
  const isLeaving = (): boolean => shutdown.grace() !== undefined;

  const callerServer = createCallerServer(
    {
      runtime,
      pool,
      peerPool,
      reachProbe,
      orders: options.orders,
      dialect,
      log,
      metrics,
      bounds,
      admission,
      shutdown,
      dataCentre: options.dataCentre,
      entryName: options.name,
      memoryBytes: options.memoryBytes,
      targetDeaths,
      targetLoss,
      startedAtMs: now(),
      now,
    },
    { ...options, isLeaving },
  );
  listen(callerServer.server, options.callerAddress);
  const peers = createPeerLink({
    runtime,
    log,
    self,
    seedAddresses: options.seedAddresses,
    serveRelayed: callerServer.serveRelayed,
    crashReported: targetDeaths.crashReported,
    now,
    countIgnored(kind, amount) {
      metrics.peerDataIgnored({ kind }, amount);
    },
  });
  const watchEvacuations = createEvacuationWatch({
    runtime,
    log,
    metrics,
    bounds,
  });
  const relayProbe = createRelayProbe({ runtime });
  const startedAtMs = now();
  const tickColdTargets = createColdTargetTicker({
    ...{ runtime, metrics, now },
    seedAddresses: options.seedAddresses,
    bound: bounds.warmUp,
    own: () => ({
      address: options.peerAddress,
      dataCentre: options.dataCentre,
      startedAtMs,
      isServing: isReady() && !isCutOff(),
    }),
  });
  const ticker = setInterval(tick, TICK_INTERVAL_MS);
  const limitTicker = setInterval(tickLimits, LIMIT_INTERVAL_MS);
  runtime.onEffect((effect) => {
    if (effect.type === 'roster.changed' && effect.heldMs !== undefined) {
      metrics.targetRemoved(effect.heldMs);
    }
    if (effect.type !== 'targetReach.changed') return;
    peers.broadcast();
    relayProbe.probeSome();
  });

  function self(): PeerStatus {
    return {
      name: options.name,
      peerAddress: options.peerAddress,
      callerAddress: options.callerAddress,
      dataCentre: options.dataCentre,
      startedAtUnixMs,
      isReady: isReady(),
      isLeaving: isLeaving(),
      configVersion: runtime.table()?.config.version ?? 0,
      weight: options.weight ?? 1,
      ...(isCutOff() ? { isCutOff: true } : {}),
      protocolVersion: PROTOCOL_VERSION,
    };
  }

  function isReady(): boolean {
    return (
      !isLeaving() &&
      runtime.table() !== undefined &&
      runtime.state().roster.targets.size > 0
    );
  }

  function isCutOff(): boolean {
    return runtime.state().targetReach.phase === 'cutOff';
  }

  function tick(): void {
    const atMs = now();
    signalDelay.tick();
    runtime.dispatch({ type: 'roster.ticked', atMs });
    tickColdTargets();
    metrics.heldRemovals(heldRemovals(runtime.state().roster, atMs));
    reachProbe.checkSilence();
    targetLoss.tick();
    runtime.dispatch({ type: 'partSuspects.ticked', atMs });
    const targets = [...runtime.state().roster.targets.values()];
    pool.keepOnly(
      new Set(
        targets
          .filter((target) => !target.draining)
          .map((target) => target.address),
      ),
    );
    watchEvacuations(atMs);
    metrics.droppedLines(log.droppedLines());
  }

  /** Divides the limits that targets name anew. */
  function tickLimits(): void {
    relayProbe.probeSome();
    const nowMs = now();
    const state = runtime.state();
    const shares = limitShares(state.targetLimits, {
      ...state,
      nowMs,
      name: options.name,
      dataCentre: options.dataCentre,
      isServing: isReady() && !isCutOff(),
    });
    runtime.dispatch({ type: 'targetLimits.ticked', atMs: nowMs, shares });
  }

  function callerAddresses(): readonly string[] {
    const others = servingPeers(runtime.state().peers, now());
    const serving: readonly PeerStatus[] = isReady()
      ? [self(), ...others]
      : others;
    const reaching = serving.filter((entry) => entry.isCutOff !== true);
    const informed = informedEntries(
      runtime.state(),
      reaching.length > 0 ? reaching : serving,
    );
    return sampleEntries(informed).map((entry) => entry.callerAddress);
  }

  function leave(done: () => void): void {
    if (isLeaving()) return;
    const delayMs = signalDelay.longestMs();
    const sinceMs = now() - delayMs;
    shutdown.begin(sinceMs);
    log.info('leaving', {
      openRequests: callerServer.openRequests(),
      delayMs: Math.round(delayMs),
    });
    peers.broadcast();
    admission?.startUntil(sinceMs + budget.queueMs);
    finishRequests({ shutdown, budget, callerServer, log }, () => {
      stop();
      done();
    });
  }

  function stop(): void {
    admission?.close();
    clearInterval(ticker);
    clearInterval(limitTicker);
    callerServer.server.close();
    callerServer.closeIdle();
    peers.close();
    pool.close();
    peerPool.close();
    reachProbe.close();
    relayProbe.close();
  }

  return { runtime, peers, isReady, callerAddresses, leave, stop };
}

function listen(server: Server, address: string): void {
  const [host = '', port = ''] = address.split(':');
  server.listen({ host, port: Number(port), backlog: 511 });
}
