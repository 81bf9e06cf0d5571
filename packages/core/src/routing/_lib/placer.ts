import type { RoutingMessage, Target } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import {
  planReservation,
  type EngineFreeMemory,
} from '../../planReservation/index.ts';
import { lanesOf, servingTargets, viewOf } from './engines.ts';
import { advanceVirtualTime, compareQueued, tagRequest } from './fairQueue.ts';
import { withEffects } from './requests.ts';
import type {
  Placement,
  RoutingEffect,
  RoutingState,
  RoutingStep,
} from './types.ts';

/** Long prefills that run at an engine at a time. */
const MAX_LONG_PREFILLS = 1;

/** Wait after which a prompt's turn is kept: nobody passes it any more. */
export const KEEP_TURN_AFTER_MS = 20_000;

/** Memory of a long-lane engine that is left to others. */
const SPARE_TOKENS = 4_000;

/** Time after its deadline for which a placement is remembered. */
const FORGET_AFTER_MS = 2_000;

const MIN_RETRY_AFTER_MS = 2_000;

/** Adds a wanted placement, or answers again when it was granted before. */
export function want(
  state: RoutingState,
  stamp: EventBase,
  fromEntryId: string,
  wanted: RoutingMessage & { readonly type: 'placementWanted' },
): RoutingStep {
  const known = state.placements.get(wanted.requestId);
  const isRepeated =
    known?.excludedTargetIds.length === wanted.excludedTargetIds.length;
  if (known && isRepeated) {
    return known.targetId === undefined || wanted.held
      ? withEffects(state, [])
      : withEffects(state, [grantEffect(known)]);
  }
  const { model, workspace, costMs, weight, held } = wanted;
  const lane = `${model}/huge`;
  const tagged = tagRequest(state, { lane, workspace }, { costMs, weight });
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
    deadlineAtMs: stamp.atMs + wanted.remainingMs,
    sinceMs: stamp.atMs,
    startTag: tagged.startTag,
    excludedTargetIds: wanted.excludedTargetIds,
    targetId: held?.targetId,
    parts: held?.parts ?? [],
    phase: held?.phase ?? 'waiting',
  };
  return place(keepPlacement(tagged.state, placement), stamp);
}

/** Notes that a prompt was prefilled, so that its engine may start another. */
export function notePrefilled(
  state: RoutingState,
  stamp: EventBase,
  requestId: string,
): RoutingStep {
  const known = state.placements.get(requestId);
  if (!known) return withEffects(state, []);
  return place(keepPlacement(state, { ...known, phase: 'decoding' }), stamp);
}

/** Notes that a request has ended or given its engine back. */
export function noteEnded(
  state: RoutingState,
  stamp: EventBase,
  requestId: string,
): RoutingStep {
  return place(
    dropPlacements(state, (one) => one.requestId === requestId),
    stamp,
  );
}

/** Drops placements of dead entries and those long past their deadline. */
export function expirePlacements(
  state: RoutingState,
  { atMs }: EventBase,
  deadEntryIds: ReadonlySet<string>,
): RoutingState {
  return dropPlacements(
    state,
    ({ entryId, deadlineAtMs }) =>
      deadEntryIds.has(entryId) || deadlineAtMs + FORGET_AFTER_MS < atMs,
  );
}

/** Grants engines to waiting prompts, in fair order, where there is room. */
export function place(state: RoutingState, stamp: EventBase): RoutingStep {
  const waiting = [...state.placements.values()]
    .filter(({ phase }) => phase === 'waiting')
    .toSorted((a, b) => compareQueued(toQueued(a), toQueued(b)));
  const blocked = new Set<string>();
  return waiting.reduce<RoutingStep>(
    (done, placement) => {
      if (blocked.has(placement.model)) return done;
      const step = placeOne(done.state, stamp, placement);
      const waitedMs = stamp.atMs - placement.sinceMs;
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

function placeOne(
  state: RoutingState,
  stamp: EventBase,
  placement: Placement,
): RoutingStep {
  const overdueMs = stamp.atMs - toQueued(placement).latestStartAtMs;
  if (overdueMs > 0) return refusePlacement(state, placement, overdueMs);
  const lane = longLane(state, stamp, placement);
  const idle = lane.filter(
    ({ targetId }) => prefillsAt(state, targetId) < MAX_LONG_PREFILLS,
  );
  const plan = planReservation(placement.needTokens, roomsOf(state, lane), {
    mayRun: (targetId) => idle.some((target) => target.targetId === targetId),
  });
  if (!plan) return withEffects(state, []);
  const granted: Placement = { ...placement, ...plan, phase: 'prefill' };
  const advanced = advanceVirtualTime(
    state,
    `${placement.model}/huge`,
    placement.startTag,
  );
  return withEffects(keepPlacement(advanced, granted), [grantEffect(granted)]);
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

/** The long lane, or all engines of a model that has no lanes. */
function longLane(
  state: RoutingState,
  { atMs }: EventBase,
  placement: Placement,
): readonly Target[] {
  const { long } = lanesOf(state, placement.model);
  const all = servingTargets(state, placement.model).filter(
    ({ targetId }) =>
      !placement.excludedTargetIds.includes(targetId) &&
      viewOf(state, targetId).ejectedUntilMs <= atMs,
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

function roomsOf(
  state: RoutingState,
  lane: readonly Target[],
): readonly EngineFreeMemory[] {
  const parts = [...state.placements.values()].flatMap((one) => one.parts);
  return lane.map(({ targetId, kvCapacityTokens }) => ({
    targetId,
    freeTokens:
      kvCapacityTokens -
      SPARE_TOKENS -
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

function keepPlacement(
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
