import {
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
import type { ForwardingConfig } from '@endivegate/contracts/forwarding';
import type { EventLog } from '../createEventLog/index.ts';

/** Holds the state of a gateway and applies events to it. */
export interface GatewayRuntime {
  readonly state: () => GatewayState;
  readonly dispatch: (event: GatewayEvent) => void;
  /** Returns the active configuration; undefined before the first one. */
  readonly table: () => RouteTable | undefined;
  /** Activates a configuration if it is newer than the active one. */
  readonly applyConfig: (config: ForwardingConfig, source: string) => void;
  /** Registers a listener for newly activated configurations. */
  readonly onConfig: (listener: (table: RouteTable) => void) => void;
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
 * @returns The runtime.
 *
 * @example
 * createGatewayRuntime(log).dispatch({ type: 'roster.ticked', atMs: 0 });
 */
export function createGatewayRuntime(log: EventLog): GatewayRuntime {
  let state = initialGatewayState;
  let table: RouteTable | undefined;
  const configListeners: ((table: RouteTable) => void)[] = [];
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
    applyConfig(config, source) {
      const version = table?.config.version ?? 0;
      if (config.version <= version) return;
      table = buildRouteTable(config);
      log.info('config.inForce', {
        version: config.version,
        before: version,
        source,
        routes: config.routes.length,
        workspaces: config.workspaces.length,
      });
      configListeners.forEach((listener) => {
        if (table !== undefined) listener(table);
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

function logEffect(log: EventLog, effect: GatewayEffect): void {
  switch (effect.type) {
    case 'roster.changed':
      log.info('target.changed', {
        target: effect.id,
        change: effect.change,
        reason: effect.reason,
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
    case 'evacuations.reportDue':
    case 'partSuspects.reportDue':
    case 'targetReach.probeDue':
  }
}
