import type { RoutingMessage, Target } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import {
  planReservation,
  type EngineFreeMemory,
} from '../../planReservation/index.ts';
import { lanesOf, servingTargets, engineViewOf } from './engines.ts';
import {
  advanceVirtualTime,
  compareQueued,
  assignStartTag,
} from './fairQueue.ts';
import { withEffects } from './routedRequests.ts';
import type {
  Placement,
  RoutingEffect,
  RoutingState,
  RoutingStep,
} from './types.ts';

/** Number of long prefills that may run on an engine at a time. */
const MAX_LONG_PREFILLS = 1;

/** Waiting time after which no prompt behind this one is placed before it. */
export const KEEP_TURN_AFTER_MS = 20_000;

/** KV memory of each engine that placements leave free for other requests. */
const HEADROOM_TOKENS = 4_000;

/** Time after its deadline at which a placement is removed. */
const PLACEMENT_RETENTION_MS = 2_000;

/** Shortest retry delay reported with a refused placement. */
const MIN_RETRY_AFTER_MS = 2_000;

/** Adds a requested placement; repeats the grant if it was granted before. */
export function handlePlacementWanted(
  state: RoutingState,
  eventBase: EventBase,
  fromEntryId: string,
  wanted: RoutingMessage & { readonly type: 'placementWanted' },
): RoutingStep {
  const existing = state.placements.get(wanted.requestId);
  const isRepeated =
    existing?.excludedTargetIds.length === wanted.excludedTargetIds.length;
  if (existing && isRepeated) {
    return existing.targetId === undefined || wanted.held
      ? withEffects(state, [])
      : withEffects(state, [grantEffect(existing)]);
  }
  const { model, workspace, costMs, weight, held } = wanted;
  const queueKey = `${model}/huge`;
  const tagged = assignStartTag(
    state,
    { queueKey, workspace },
    { costMs, weight },
  );
  const placement: Placement = {
    entryId: fromEntryId,
    requestId: wanted.requestId,
    model,
    workspace,
    weight,
    promptTokens: wanted.promptTokens,
    needTokens: wanted.needTokens,
    costMs,
    decodeMs: wanted.decodeMs,
    deadlineAtMs: eventBase.atMs + wanted.remainingMs,
    requestedAtMs: eventBase.atMs,
    startTag: tagged.startTag,
    excludedTargetIds: wanted.excludedTargetIds,
    targetId: held?.targetId,
    parts: held?.parts ?? [],
    phase: held?.phase ?? 'waiting',
  };
  return placeWaiting(storePlacement(tagged.state, placement), eventBase);
}

/** Marks a prompt as prefilled, so that its engine may start another one. */
export function handlePlacementPrefilled(
  state: RoutingState,
  eventBase: EventBase,
  requestId: string,
): RoutingStep {
  const existing = state.placements.get(requestId);
  if (!existing) return withEffects(state, []);
  return placeWaiting(
    storePlacement(state, { ...existing, phase: 'decoding' }),
    eventBase,
  );
}

/** Removes the placement of a request that ended or released its engine. */
export function handlePlacementEnded(
  state: RoutingState,
  eventBase: EventBase,
  requestId: string,
): RoutingStep {
  return placeWaiting(
    dropPlacements(state, (one) => one.requestId === requestId),
    eventBase,
  );
}

/** Removes placements of dead entries and those past their retention time. */
export function expirePlacements(
  state: RoutingState,
  { atMs }: EventBase,
  deadEntryIds: ReadonlySet<string>,
): RoutingState {
  return dropPlacements(
    state,
    ({ entryId, deadlineAtMs }) =>
      deadEntryIds.has(entryId) || deadlineAtMs + PLACEMENT_RETENTION_MS < atMs,
  );
}

/** Assigns engines with free capacity to waiting prompts, in fair order. */
export function placeWaiting(
  state: RoutingState,
  eventBase: EventBase,
): RoutingStep {
  const waiting = [...state.placements.values()]
    .filter(({ phase }) => phase === 'waiting')
    .toSorted((a, b) => compareQueued(toQueued(a), toQueued(b)));
  const blocked = new Set<string>();
  return waiting.reduce<RoutingStep>(
    (done, placement) => {
      if (blocked.has(placement.model)) return done;
      const step = placeOrRefuse(done.state, eventBase, placement);
      const waitedMs = eventBase.atMs - placement.requestedAtMs;
      if (step.effects.length === 0 && waitedMs > KEEP_TURN_AFTER_MS) {
        blocked.add(placement.model);
      }
      return { ...step, effects: [...done.effects, ...step.effects] };
    },
    { state, effects: [] },
  );
}

function toQueued({ startTag, deadlineAtMs, costMs, decodeMs }: Placement) {
  return { startTag, latestStartAtMs: deadlineAtMs - costMs - decodeMs };
}

function placeOrRefuse(
  state: RoutingState,
  eventBase: EventBase,
  placement: Placement,
): RoutingStep {
  const overdueMs = eventBase.atMs - toQueued(placement).latestStartAtMs;
  if (overdueMs > 0) return refusePlacement(state, placement, overdueMs);
  const lane = longLane(state, eventBase, placement);
  const idle = lane.filter(
    ({ targetId }) => prefillsAt(state, targetId) < MAX_LONG_PREFILLS,
  );
  const plan = planReservation(
    placement.needTokens,
    freeMemoryOf(state, lane),
    {
      mayRun: (targetId) => idle.some((target) => target.targetId === targetId),
    },
  );
  if (!plan) return withEffects(state, []);
  const granted: Placement = { ...placement, ...plan, phase: 'prefill' };
  const advanced = advanceVirtualTime(
    state,
    `${placement.model}/huge`,
    placement.startTag,
  );
  return withEffects(storePlacement(advanced, granted), [grantEffect(granted)]);
}

function refusePlacement(
  state: RoutingState,
  { requestId, entryId }: Placement,
  overdueMs: number,
): RoutingStep {
  const retryAfterMs = Math.max(overdueMs, MIN_RETRY_AFTER_MS);
  return withEffects(
    dropPlacements(state, (one) => one.requestId === requestId),
    [
      {
        type: 'routing.sendPeer',
        toEntryId: entryId,
        message: { type: 'placementRefused', requestId, retryAfterMs },
      },
    ],
  );
}

/**
 * Returns the engines of the long lane, or all engines of the model when the
 * lane cannot hold the prompt or the model has no lanes.
 */
function longLane(
  state: RoutingState,
  { atMs }: EventBase,
  placement: Placement,
): readonly Target[] {
  const { long } = lanesOf(state, placement.model);
  const all = servingTargets(state, placement.model).filter(
    ({ targetId }) =>
      !placement.excludedTargetIds.includes(targetId) &&
      engineViewOf(state, targetId).ejectedUntilMs <= atMs,
  );
  const lane = all.filter(({ targetId }) => long.includes(targetId));
  const capacity = lane.reduce((sum, one) => sum + one.kvCapacityTokens, 0);
  return capacity >= placement.needTokens ? lane : all;
}

function prefillsAt(state: RoutingState, targetId: string): number {
  return [...state.placements.values()].filter(
    (one) => one.phase === 'prefill' && one.targetId === targetId,
  ).length;
}

function freeMemoryOf(
  state: RoutingState,
  lane: readonly Target[],
): readonly EngineFreeMemory[] {
  const parts = [...state.placements.values()].flatMap((one) => one.parts);
  return lane.map(({ targetId, kvCapacityTokens }) => ({
    targetId,
    freeTokens:
      kvCapacityTokens -
      HEADROOM_TOKENS -
      parts
        .filter((part) => part.targetId === targetId)
        .reduce((sum, { tokens }) => sum + tokens, 0),
  }));
}

function grantEffect(placement: Placement): RoutingEffect {
  const { requestId, targetId = '', parts, entryId } = placement;
  return {
    type: 'routing.sendPeer',
    toEntryId: entryId,
    message: { type: 'placementGranted', requestId, targetId, parts },
  };
}

function storePlacement(
  state: RoutingState,
  placement: Placement,
): RoutingState {
  const placements = new Map(state.placements);
  placements.set(placement.requestId, placement);
  return { ...state, placements };
}

function dropPlacements(
  state: RoutingState,
  isDropped: (placement: Placement) => boolean,
): RoutingState {
  const kept = [...state.placements].filter(([, one]) => !isDropped(one));
  if (kept.length === state.placements.size) return state;
  return { ...state, placements: new Map(kept) };
}
