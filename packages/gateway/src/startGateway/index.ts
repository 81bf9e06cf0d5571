import type { Server } from 'node:http';
import { servingPeers, type PeerStatus } from '@endivegate/core/forwarding';
import { createConnectionPool } from '../createConnectionPool/index.ts';
import type { EventLog } from '../createEventLog/index.ts';
import { createFront } from '../createFront/index.ts';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import { createPeerLink, type PeerLink } from '../createPeerLink/index.ts';
import {
  createGatewayRuntime,
  type GatewayBounds,
  type GatewayRuntime,
} from '../gatewayRuntime/index.ts';
import type { HttpDialect } from '../httpDialect/index.ts';
import type { OrderPort } from '../orderPort/index.ts';

/** Options of {@link startGateway}. */
export interface StartGatewayOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** IP and port for callers. */
  readonly callerAddress: string;
  /** IP and port for traffic between entries, TCP and UDP. */
  readonly peerAddress: string;
  readonly seedAddresses: readonly string[];
  readonly bounds: GatewayBounds;
  readonly dialect: HttpDialect;
  readonly orders: OrderPort;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Monotonic time in ms. */
  readonly now?: () => number;
  readonly unixNow?: () => number;
}

/** A running gateway. */
export interface Gateway {
  readonly runtime: GatewayRuntime;
  readonly peers: PeerLink;
  /** Whether callers may be sent here. */
  readonly isReady: () => boolean;
  /** Addresses that callers may connect to now; never empty while ready. */
  readonly callerAddresses: () => readonly string[];
  /** Leaves: announces it, finishes what is open, then calls back. */
  readonly leave: (done: () => void) => void;
  /** Closes everything at once. */
  readonly stop: () => void;
}

/** Callers keep an address list for three times its lifetime of 1 s at most,
 * so new requests arrive for this long after leaving was announced. */
const STALE_CALLERS_MS = 3500;

/** Part of the grace period after which open answers are cut off. */
const GRACE_USE = 0.9;

const LEAVE_CHECK_MS = 50;

const TICK_MS = 200;

/**
 * Starts a gateway: the server for callers and the link to its peers.
 *
 * @param options - Addresses, bounds and the deployment's dialect.
 * @returns The running gateway; it learns configuration and targets through
 * its runtime.
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
  const runtime = createGatewayRuntime(log);
  const pool = createConnectionPool({ onConnect: metrics.connected });
  let isLeaving = false;

  const front = createFront(
    {
      runtime,
      pool,
      orders: options.orders,
      dialect,
      log,
      metrics,
      bounds,
      dataCentre: options.dataCentre,
      startedAtMs: now(),
      now,
    },
    { isLeaving: () => isLeaving },
  );
  listen(front.server, options.callerAddress);
  const peers = createPeerLink({
    runtime,
    log,
    self,
    seedAddresses: options.seedAddresses,
    now,
  });
  const ticker = setInterval(tick, TICK_MS);

  function self(): PeerStatus {
    return {
      name: options.name,
      peerAddress: options.peerAddress,
      callerAddress: options.callerAddress,
      dataCentre: options.dataCentre,
      startedAtUnixMs,
      isReady: isReady(),
      isLeaving,
      configVersion: runtime.table()?.config.version ?? 0,
    };
  }

  function isReady(): boolean {
    return (
      !isLeaving &&
      runtime.table() !== undefined &&
      runtime.state().roster.targets.size > 0
    );
  }

  function tick(): void {
    const atMs = now();
    runtime.dispatch({ type: 'roster.ticked', atMs });
    runtime.dispatch({ type: 'suspects.ticked', atMs });
    const targets = [...runtime.state().roster.targets.values()];
    pool.keepOnly(
      new Set(
        targets
          .filter((target) => !target.draining)
          .map((target) => target.address),
      ),
    );
    metrics.droppedLines(log.droppedLines());
  }

  function callerAddresses(): readonly string[] {
    const others = servingPeers(runtime.state().peers, now()).map(
      (peer) => peer.callerAddress,
    );
    return isReady() ? [options.callerAddress, ...others] : others;
  }

  function leave(done: () => void): void {
    if (isLeaving) return;
    isLeaving = true;
    const sinceMs = now();
    log.info('leaving', { openRequests: front.openRequests() });
    peers.tell();
    const check = setInterval(() => {
      const elapsedMs = now() - sinceMs;
      const isQuiet =
        elapsedMs >= STALE_CALLERS_MS && front.openRequests() === 0;
      if (!isQuiet && elapsedMs < bounds.graceMs * GRACE_USE) return;
      clearInterval(check);
      log.info('left', { elapsedMs, openRequests: front.openRequests() });
      stop();
      done();
    }, LEAVE_CHECK_MS);
  }

  function stop(): void {
    clearInterval(ticker);
    front.server.close();
    front.closeIdle();
    peers.close();
    pool.close();
  }

  return { runtime, peers, isReady, callerAddresses, leave, stop };
}

function listen(server: Server, address: string): void {
  const [host = '', port = ''] = address.split(':');
  server.listen({ host, port: Number(port), backlog: 511 });
}
