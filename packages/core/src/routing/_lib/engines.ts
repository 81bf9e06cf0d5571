import type { Target } from '@endivegate/contracts';
import { DEFAULT_COST_MODEL, type CostModel } from '../../costModel/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import {
  divideLanes,
  orderEngines,
  planLanes,
  DEFAULT_WORK,
  type Lanes,
} from '../../planLanes/index.ts';
import { scoreRendezvous } from '../../scoreRendezvous/index.ts';
import type { EngineView, RoutedRequest, RoutingState } from './types.ts';

/** View of an engine before its first load report or request. */
export const INITIAL_ENGINE_VIEW: EngineView = {
  load: undefined,
  loadAtMs: 0,
  slowness: 1,
  samples: 0,
  consecutiveFailures: 0,
  ejections: 0,
  ejectedUntilMs: 0,
  cacheSequence: 0,
};

/** Largest fraction of a model's engines that may be ejected at a time. */
export const MAX_EJECTED_FRACTION = 0.3;

/** Returns what is known about an engine. */
export function engineViewOf(
  state: RoutingState,
  targetId: string,
): EngineView {
  return state.engines.get(targetId) ?? INITIAL_ENGINE_VIEW;
}

/** Stores what is known about an engine. */
export function storeEngineView(
  state: RoutingState,
  targetId: string,
  view: EngineView,
): RoutingState {
  return { ...state, engines: new Map(state.engines).set(targetId, view) };
}

/** Returns the learned cost model for a key, or the default one. */
export function costModelOf(state: RoutingState, key: string): CostModel {
  return state.costs.get(key) ?? DEFAULT_COST_MODEL;
}

/** Returns the targets that accept new requests for a model or service. */
export function servingTargets(
  state: RoutingState,
  service: string,
): readonly Target[] {
  return state.servingTargets.get(service) ?? [];
}

function groupByService(
  targets: readonly Target[],
): ReadonlyMap<string, readonly Target[]> {
  const groups = new Map<string, Target[]>();
  targets
    .filter(({ leaving }) => !leaving)
    .forEach((target) => {
      target.serves.forEach((service) => {
        const group = groups.get(service);
        if (group) group.push(target);
        else groups.set(service, [target]);
      });
    });
  return groups;
}

/**
 * Returns the targets that a request may be sent to: those that are not
 * ejected, or all of them when every one is ejected.
 */
export function candidatesFor(
  state: RoutingState,
  request: RequestInfo,
  options: {
    readonly excludedTargetIds: readonly string[];
    readonly atMs: number;
  },
): readonly Target[] {
  const all = servingTargets(state, request.service).filter(
    ({ targetId }) => !options.excludedTargetIds.includes(targetId),
  );
  const healthy = all.filter(
    ({ targetId }) =>
      engineViewOf(state, targetId).ejectedUntilMs <= options.atMs,
  );
  return healthy.length > 0 ? healthy : all;
}

/** Returns a model's engines by lane, using the placing entry's plan if any. */
export function lanesOf(state: RoutingState, model: string): Lanes {
  const ordered = state.engineOrders.get(model) ?? [];
  const plan =
    state.lanes.get(model) ?? planLanes(ordered.length, DEFAULT_WORK);
  return divideLanes(ordered, plan);
}

/** Largest score added per target so that entries differ in their choices. */
const MAX_PREFERENCE_MS = 25;

/** Recomputes the indexes derived from the targets and this entry's id. */
export function indexTargets(state: RoutingState): RoutingState {
  const groups = groupByService(state.targets);
  const engineOrders = [...groups].map(([model, engines]) => {
    const ids = engines.map(({ targetId }) => targetId);
    return [model, orderEngines(model, ids)] as const;
  });
  const selfId = state.self?.entryId ?? '';
  const preferencesMs = state.targets.map(({ targetId }) => {
    const score = scoreRendezvous(selfId, targetId);
    return [targetId, MAX_PREFERENCE_MS / (1 + score)] as const;
  });
  return {
    ...state,
    servingTargets: groups,
    engineOrders: new Map(engineOrders),
    preferencesMs: new Map(preferencesMs),
  };
}

/** Work that this entry has sent to one engine and that has not finished. */
export interface OwnWork {
  /** Remaining prefill time of short prompts, which engines run first. */
  readonly shortMs: number;
  /** Remaining prefill time of all longer prompts. */
  readonly heavyMs: number;
  /** Remaining prefill time of prompts sent after the last load report. */
  readonly unreportedMs: number;
  readonly inFlight: number;
}

const NO_WORK: OwnWork = {
  shortMs: 0,
  heavyMs: 0,
  unreportedMs: 0,
  inFlight: 0,
};

/**
 * Smallest fraction of a prefill's cost counted until its first token arrives.
 */
const MIN_REMAINING_FRACTION = 0.1;

/** Sums this entry's unfinished work at each engine. */
export function ownWorkByTarget(
  state: RoutingState,
  atMs: number,
): ReadonlyMap<string, OwnWork> {
  const byTarget = new Map<string, OwnWork>();
  state.requests.forEach((routed) => {
    const { targetId } = routed;
    if (targetId === undefined) return;
    const before = byTarget.get(targetId) ?? NO_WORK;
    byTarget.set(targetId, addWork(state, before, routed, atMs));
  });
  return byTarget;
}

function addWork(
  state: RoutingState,
  work: OwnWork,
  routed: RoutedRequest,
  atMs: number,
): OwnWork {
  const inFlight = work.inFlight + 1;
  if (routed.phase !== 'prefill') return { ...work, inFlight };
  const elapsedMs = atMs - routed.phaseSinceMs;
  const remainingMs = Math.max(
    routed.costMs - elapsedMs,
    routed.costMs * MIN_REMAINING_FRACTION,
  );
  const isShort = routed.request.lengthClass === 'short';
  const loadAtMs = engineViewOf(state, routed.targetId ?? '').loadAtMs;
  return {
    inFlight,
    shortMs: work.shortMs + (isShort ? remainingMs : 0),
    heavyMs: work.heavyMs + (isShort ? 0 : remainingMs),
    unreportedMs:
      work.unreportedMs + (routed.phaseSinceMs > loadAtMs ? remainingMs : 0),
  };
}

/** Returns this entry's unfinished work at one engine. */
export function workAt(
  byTarget: ReadonlyMap<string, OwnWork>,
  targetId: string,
): OwnWork {
  return byTarget.get(targetId) ?? NO_WORK;
}
