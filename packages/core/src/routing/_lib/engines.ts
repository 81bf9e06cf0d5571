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

/** An engine of which nothing is known. */
export const UNKNOWN_ENGINE: EngineView = {
  load: undefined,
  loadAtMs: 0,
  slowness: 1,
  samples: 0,
  failuresInRow: 0,
  ejections: 0,
  ejectedUntilMs: 0,
  cacheSequence: 0,
};

/** Largest part of a model's engines that may be ejected at a time. */
export const MAX_EJECTED_PART = 0.3;

/** Returns what is known of an engine. */
export function viewOf(state: RoutingState, targetId: string): EngineView {
  return state.engines.get(targetId) ?? UNKNOWN_ENGINE;
}

/** Stores what is known of an engine. */
export function keepView(
  state: RoutingState,
  targetId: string,
  view: EngineView,
): RoutingState {
  return { ...state, engines: new Map(state.engines).set(targetId, view) };
}

/** Returns the learned speeds of a model, or the assumed ones. */
export function costsOf(state: RoutingState, key: string): CostModel {
  return state.costs.get(key) ?? DEFAULT_COST_MODEL;
}

/** Returns the targets that may get new work of a service now. */
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

/** Returns the targets that a request may be sent to, healthy ones if any. */
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
    ({ targetId }) => viewOf(state, targetId).ejectedUntilMs <= options.atMs,
  );
  return healthy.length > 0 ? healthy : all;
}

/** Returns a model's engines by lane, as this entry has been told. */
export function lanesOf(state: RoutingState, model: string): Lanes {
  const ordered = state.engineOrders.get(model) ?? [];
  const plan =
    state.lanes.get(model) ?? planLanes(ordered.length, DEFAULT_WORK);
  return divideLanes(ordered, plan);
}

/** Spread of the preferences by which entries differ in their choices. */
const PREFERENCE_MS = 25;

/** Works out what depends on the list of targets and on this entry's id. */
export function orderTargets(state: RoutingState): RoutingState {
  const groups = groupByService(state.targets);
  const engineOrders = [...groups].map(([model, engines]) => {
    const ids = engines.map(({ targetId }) => targetId);
    return [model, orderEngines(model, ids)] as const;
  });
  const selfId = state.self?.entryId ?? '';
  const preferencesMs = state.targets.map(({ targetId }) => {
    const score = scoreRendezvous(selfId, targetId);
    return [targetId, PREFERENCE_MS / (1 + score)] as const;
  });
  return {
    ...state,
    servingTargets: groups,
    engineOrders: new Map(engineOrders),
    preferencesMs: new Map(preferencesMs),
  };
}

/** Work of this entry at one engine. */
export interface OwnWork {
  /** Prefill time left, by the engine's priority order. */
  readonly shortMs: number;
  readonly heavyMs: number;
  /** Prefill time left of what was sent after the last load report. */
  readonly unseenMs: number;
  readonly inFlight: number;
}

const NO_WORK: OwnWork = { shortMs: 0, heavyMs: 0, unseenMs: 0, inFlight: 0 };

/** Part of a prefill's cost that stays until its first token is seen. */
const LEFT_OVER_PART = 0.1;

/** Sums up this entry's work at each engine. */
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
  const leftMs = Math.max(
    routed.costMs - elapsedMs,
    routed.costMs * LEFT_OVER_PART,
  );
  const isShort = routed.request.lengthClass === 'short';
  const loadAtMs = viewOf(state, routed.targetId ?? '').loadAtMs;
  return {
    inFlight,
    shortMs: work.shortMs + (isShort ? leftMs : 0),
    heavyMs: work.heavyMs + (isShort ? 0 : leftMs),
    unseenMs: work.unseenMs + (routed.phaseSinceMs > loadAtMs ? leftMs : 0),
  };
}

/** Returns the work at one engine. */
export function workAt(
  byTarget: ReadonlyMap<string, OwnWork>,
  targetId: string,
): OwnWork {
  return byTarget.get(targetId) ?? NO_WORK;
}
