import {
  behindSinceMs,
  buildRouteTable,
  type InFlightRequest,
  type GatewayEffect,
  type GatewayEvent,
  gatewayReduce,
  type GatewayState,
  initialGatewayState,
  type RetryBudgetOptions,
  type RouteTable,
  type WarmUpBound,
} from '@endivegate/core/forwarding';
import type {
  ExactInteger,
  ForwardingConfig,
} from '@endivegate/contracts/forwarding';
import type { EventLog } from '../createEventLog/index.ts';

/** Holds the state of a gateway and applies events to it. */
export interface GatewayRuntime {
  readonly state: () => GatewayState;
  readonly dispatch: (event: GatewayEvent) => void;
  /** Returns the active configuration; undefined before the first one. */
  readonly table: () => RouteTable | undefined;
  /** Activates a configuration if it is newer than the active one. The source is
   * `store`, or names the peer. */
  readonly applyConfig: (
    config: ForwardingConfig,
    source: string,
    delivery?: ConfigDelivery,
  ) => void;
  /** Registers a listener for newly activated configurations. */
  readonly onConfig: (listener: ConfigListener) => void;
  /** Registers a listener for requests that this entry sends. */
  readonly onSendStarted: (listener: (flight: InFlightRequest) => void) => void;
  /** Registers a listener for requests that have ended; `ended` is undefined if a
   * peer reports its load. */
  readonly onLoadFreed: (
    listener: (ended: InFlightRequest | undefined) => void,
  ) => void;
  /** Registers a listener for the effects of events. */
  readonly onEffect: (listener: (effect: GatewayEffect) => void) => void;
}

/** What it took to receive a configuration. */
export interface ConfigDelivery {
  /** Size as received. */
  readonly bytes?: number;
  /** Time from the call to the last byte; absent if the store notified this entry. */
  readonly fetchMs?: number;
  /** Time to decode and check it. */
  readonly decodeMs?: number;
}

/** How an active configuration was received. */
export interface ConfigOrigin extends ConfigDelivery {
  readonly source: string;
  /** Time since this entry first heard of a configuration newer than the one before;
   * absent if it had not heard of any. */
  readonly behindMs?: number;
}

/** Called with each newly activated configuration. */
export type ConfigListener = (table: RouteTable, origin: ConfigOrigin) => void;

/** Options of {@link createGatewayRuntime}. */
export interface CreateGatewayRuntimeOptions {
  /** Monotonic time in ms; `performance.now` by default. */
  readonly now?: () => number;
}

/** Limits of a deployment. */
export interface GatewayBounds {
  readonly retry: Omit<RetryBudgetOptions, 'entries' | 'uptimeMs'>;
  /** Time from the stop request until the process is killed. */
  readonly graceMs: number;
  /** Time within which an evacuation of a data centre must take effect; undefined where
   * data centres are not evacuated. */
  readonly evacuationMs?: number | undefined;
  /** Bound on requests to a cold target in any second. */
  readonly warmUp?: WarmUpBound | undefined;
}

/**
 * Creates the runtime of a gateway.
 *
 * @param log - Logs changes of targets, peers and the configuration.
 * @param options - The clock.
 * @returns The runtime.
 *
 * @example
 * createGatewayRuntime(log).dispatch({ type: 'roster.ticked', atMs: 0 });
 */
export function createGatewayRuntime(
  log: EventLog,
  { now = () => performance.now() }: CreateGatewayRuntimeOptions = {},
): GatewayRuntime {
  let state = initialGatewayState;
  let table: RouteTable | undefined;
  const configListeners: ConfigListener[] = [];
  const loadListeners: ((flight: InFlightRequest) => void)[] = [];
  const freedListeners: ((ended: InFlightRequest | undefined) => void)[] = [];
  const effectListeners: ((effect: GatewayEffect) => void)[] = [];

  return {
    state: () => state,
    dispatch(event) {
      const ended =
        event.type === 'load.ended'
          ? state.load.flights.get(event.flightId)
          : undefined;
      const step = gatewayReduce(state, event);
      state = step.state;
      step.effects.forEach((effect) => {
        logEffect(log, effect);
      });
      step.effects.forEach((effect) => {
        effectListeners.forEach((listener) => {
          listener(effect);
        });
      });
      if (event.type === 'load.started') {
        loadListeners.forEach((listener) => {
          listener(event.flight);
        });
      }
      if (ended !== undefined || event.type === 'load.received') {
        freedListeners.forEach((listener) => {
          listener(ended);
        });
      }
    },
    table: () => table,
    applyConfig(config, source, delivery = {}) {
      const { version: before } = state.configSync;
      const { version } = config;
      if (version <= before) return;
      const sinceMs = behindSinceMs(state.configSync, version);
      const applied = buildRouteTable(config);
      table = applied;
      state = gatewayReduce(state, {
        type: 'configSync.applied',
        version,
      }).state;
      const origin: ConfigOrigin = {
        ...delivery,
        source,
        ...(sinceMs === undefined ? {} : { behindMs: now() - sinceMs }),
      };
      logConfig(log, applied, { before, origin });
      configListeners.forEach((listener) => {
        listener(applied, origin);
      });
    },
    onConfig(listener) {
      configListeners.push(listener);
    },
    onSendStarted(listener) {
      loadListeners.push(listener);
    },
    onLoadFreed(listener) {
      freedListeners.push(listener);
    },
    onEffect(listener) {
      effectListeners.push(listener);
    },
  };
}

function logConfig(
  log: EventLog,
  { config }: RouteTable,
  change: { readonly before: ExactInteger; readonly origin: ConfigOrigin },
): void {
  const { source, bytes, behindMs, fetchMs, decodeMs } = change.origin;
  log.info('config.inForce', {
    version: config.version,
    before: change.before,
    source,
    routes: config.routes.length,
    workspaces: config.workspaces.length,
    bytes,
    behindMs: rounded(behindMs),
    fetchMs: rounded(fetchMs),
    decodeMs: rounded(decodeMs),
  });
}

function rounded(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}

function logEffect(log: EventLog, effect: GatewayEffect): void {
  switch (effect.type) {
    case 'roster.changed':
      log.info('target.changed', {
        target: effect.id,
        change: effect.change,
        reason: effect.reason,
        heldMs: rounded(effect.heldMs),
      });
      return;
    case 'roster.paused':
      log.info('target.paused', {
        target: effect.id,
        pauseMs: Math.round(effect.pauseMs),
        requestedMs: Math.round(effect.requestedMs),
      });
      return;
    case 'targetLimits.changed':
      log.info('target.limit', {
        target: effect.id,
        requestsPerS: effect.requestsPerS,
        beforePerS: effect.beforePerS,
        reason: effect.reason,
      });
      return;
    case 'coldTargets.changed':
      log.info('target.warmUp', {
        target: effect.id,
        cold: effect.isCold,
        leftMs: Math.round(effect.leftMs),
        source: effect.source,
        clamped: effect.isClamped ? true : undefined,
      });
      return;
    case 'peers.changed':
      log.info('peer.changed', { peer: effect.name, change: effect.change });
      return;
    case 'partSuspects.blocked':
      log.warn('suspect.blocked', {
        service: effect.block.service,
        parts: effect.block.parts,
        level: effect.block.level,
        holdMs: effect.holdMs,
        source: effect.source,
      });
      return;
    case 'partSuspects.cleared':
      log.info('suspect.cleared', {
        service: effect.block.service,
        parts: effect.block.parts,
      });
      return;
    case 'targetReach.changed':
      log.warn('entry.reach', {
        phase: effect.phase,
        failedTargets: effect.failedTargets,
      });
      return;
    case 'evacuations.changed':
      log.warn('evacuation.changed', {
        dataCentre: effect.evacuation.dataCentre,
        evacuated: effect.evacuation.isEvacuated,
        era: effect.evacuation.era,
        revision: effect.evacuation.revision,
        source: effect.source,
        ageMs: Math.round(effect.ageMs),
      });
      return;
    case 'evacuations.outdated':
      log.warn('entry.resumed', { stoppedMs: Math.round(effect.stoppedMs) });
      return;
    case 'configSync.fetchDue':
      log.info('config.fetchDue', {
        peer: effect.source.name,
        version: effect.source.version,
      });
      return;
    case 'configSync.notNewer':
      log.warn('config.notNewer', {
        version: effect.document.version,
        inForce: effect.active,
        revision: effect.document.revision,
      });
      return;
    case 'configSync.storeReadDue':
      log.warn('config.storeReadDue', {});
      return;
    case 'evacuations.reportDue':
    case 'roster.removalReportDue':
    case 'partSuspects.reportDue':
    case 'targetReach.probeDue':
  }
}
