import { emptyBucketMap } from '../bucketMap/index.ts';
import { indexRows } from '../indexRows/index.ts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import type { Slice } from '../slice/index.ts';
import { admitRequest, sendOrQueue, rerouteRequest } from './_lib/admit.ts';
import {
  storeEngineView,
  indexTargets,
  servingTargets,
  engineViewOf,
} from './_lib/engines.ts';
import { dropIdleFlows } from './_lib/fairQueue.ts';
import { recordAttemptEnd, recordFirstToken } from './_lib/engineHealth.ts';
import { deliverToSelf, handleMessage, reportDemand } from './_lib/messages.ts';
import { placerOf } from './_lib/placerOf.ts';
import { expirePlacements, placeWaiting } from './_lib/placer.ts';
import {
  announceHeldPlacements,
  repeatPlacementRequests,
  handleReserved,
  releasePlacement,
  placerEffect,
} from './_lib/placementRequests.ts';
import { applyCacheEvents } from './_lib/prefixes.ts';
import { releaseShare, refreshLimits, reportLimits } from './_lib/limitUse.ts';
import { drainLimitQueues } from './_lib/limitQueue.ts';
import { drainQueues } from './_lib/queue.ts';
import {
  andThen,
  removeRequest,
  storeRequest,
  withEffects,
} from './_lib/routedRequests.ts';
import type {
  RoutingEffect,
  RoutingEvent,
  RoutingState,
  RoutingStep,
} from './_lib/types.ts';

export { MAX_EJECTED_FRACTION } from './_lib/engines.ts';
export { KEEP_TURN_AFTER_MS } from './_lib/placer.ts';
export { MAX_WAITING, MAX_WAITING_PER_FLOW } from './_lib/queue.ts';
export type {
  RoutedRequest,
  RoutingEffect,
  RoutingEvent,
  RoutingState,
} from './_lib/types.ts';

/**
 * Largest number of engines for which one load report is read at every tick.
 */
const MAX_FULL_RATE_ENGINES = 100;

/**
 * Routing slice: decides when and on which target each request runs, or refuses
 * it.
 *
 * Prompts wait in weighted fair queues until an engine has capacity. Prompts of
 * length class `huge` are assigned to engines by their model's placing entry.
 * Calls to plain services are sent immediately.
 */
export const routingSlice: Slice<RoutingState, RoutingEvent, RoutingEffect> = {
  initial: {
    self: undefined,
    live: [],
    targets: [],
    rows: indexRows([]),
    servingTargets: new Map(),
    engineOrders: new Map(),
    preferencesMs: new Map(),
    requests: new Map(),
    engines: new Map(),
    costs: new Map(),
    prefixes: emptyBucketMap(),
    virtualTimes: new Map(),
    finishTags: new Map(),
    work: new Map(),
    demandSentAtMs: 0,
    lanes: new Map(),
    fleetWork: new Map(),
    placements: new Map(),
    viewSinceMs: 0,
    limitUses: new Map(),
    coordinatedLimits: new Map(),
    nextReservation: 1,
    loadCursor: 0,
    loadCredit: 0,
  },
  reduce: (state, event) => deliverToSelf(reduceRouting(state, event), event),
};

function reduceRouting(
  state: RoutingState,
  event: RoutingEvent | SharedEvent,
): RoutingStep {
  switch (event.type) {
    case 'entry.started':
      return withEffects(indexTargets({ ...state, self: event.self }), []);
    case 'table.installed':
      return withEffects(
        refreshLimits({ ...state, rows: indexRows(event.rows) }),
        [],
      );
    case 'targets.changed':
      return drainQueues(
        indexTargets({ ...state, targets: event.targets }),
        event,
      );
    case 'members.changed':
      return handleMembersChanged(state, event);
    case 'clock.ticked':
      return handleTick(state, event);
    case 'request.arrived':
      return admitRequest(state, event, event.request);
    case 'request.retryWanted':
      return rerouteRequest(state, event, event);
    case 'attempt.firstToken':
      return handleFirstToken(state, event);
    case 'attempt.ended':
      return handleAttemptEnded(state, event);
    case 'request.refused':
    case 'request.ended':
      return handleRequestEnded(state, event);
    case 'routing.loadRead':
      return withEffects(recordLoad(state, event), []);
    case 'routing.cacheRead':
      return withEffects(
        applyCacheEvents(state, event.targetId, event.events, event.atMs),
        [],
      );
    case 'routing.reserved':
      return handleReserved(state, event, event);
    case 'routing.peerReceived':
      return handleMessage(state, event, event.fromEntryId, event.message);
    default:
      return withEffects(state, []);
  }
}

/** Sends or queues the waiting requests whose limit has capacity again. */
function admitLimitedRequests(
  state: RoutingState,
  eventBase: EventBase,
): RoutingStep {
  return drainLimitQueues(state, eventBase, sendOrQueue);
}

function handleTick(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'clock.ticked' },
): RoutingStep {
  const expired = expirePlacements(dropIdleFlows(state), event, new Set());
  const steps = [
    admitLimitedRequests,
    drainQueues,
    repeatPlacementRequests,
    placeWaiting,
    reportDemand,
    reportLimits,
    readLoads,
  ];
  return steps.reduce<RoutingStep>(
    (done, next) => andThen(done, (current) => next(current, event)),
    withEffects(expired, []),
  );
}

/**
 * Reads the load of the engines of the models in use, round-robin, at most one
 * engine per tick.
 *
 * Above {@link MAX_FULL_RATE_ENGINES} engines the read rate falls in inverse
 * proportion to their number. Even at the full rate, reports of large fleets
 * would be about a minute old and too stale to justify the traffic.
 */
function readLoads(state: RoutingState): RoutingStep {
  const models = [...new Set([...state.lanes.keys(), ...state.work.keys()])];
  const engines = models.flatMap((model) => servingTargets(state, model));
  if (engines.length === 0) return withEffects(state, []);
  const credit =
    state.loadCredit + Math.min(1, MAX_FULL_RATE_ENGINES / engines.length);
  if (credit < 1) return withEffects({ ...state, loadCredit: credit }, []);
  const { loadCursor } = state;
  const targetId = engines[loadCursor % engines.length]?.targetId ?? '';
  const next = { ...state, loadCursor: loadCursor + 1, loadCredit: credit - 1 };
  return withEffects(next, [{ type: 'routing.readLoad', targetId }]);
}

function recordLoad(
  state: RoutingState,
  { targetId, load, atMs }: RoutingEvent & { type: 'routing.loadRead' },
): RoutingState {
  if (!load) return state;
  const view = engineViewOf(state, targetId);
  const loadAtMs = atMs - load.ageMs;
  return storeEngineView(state, targetId, { ...view, load, loadAtMs });
}

function handleMembersChanged(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'members.changed' },
): RoutingStep {
  const dead = new Set(event.dead.map(({ entryId }) => entryId));
  const models = new Set(
    [...state.requests.values()].map(({ request }) => request.service),
  );
  const withMembers = { ...state, live: event.live, viewSinceMs: event.atMs };
  const changed = expirePlacements(refreshLimits(withMembers), event, dead);
  const hasNewPlacer = [...models].some(
    (model) => placerOf(state, model) !== placerOf(changed, model),
  );
  return hasNewPlacer
    ? announceHeldPlacements(changed, event)
    : withEffects(changed, []);
}

function handleFirstToken(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'attempt.firstToken' },
): RoutingStep {
  const { requestId } = event;
  const request = state.requests.get(requestId)?.request;
  const recorded = drainQueues(recordFirstToken(state, event), event);
  if (request?.lengthClass !== 'huge') return recorded;
  const message = { type: 'placementPrefilled', requestId } as const;
  return {
    state: recorded.state,
    effects: [...recorded.effects, placerEffect(state, request, message)],
  };
}

function handleAttemptEnded(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'attempt.ended' },
): RoutingStep {
  const recorded = recordAttemptEnd(state, event);
  const routed = recorded.requests.get(event.requestId);
  if (!routed) return withEffects(recorded, []);
  const released = releasePlacement(recorded, routed);
  const after = released.state.requests.get(event.requestId) ?? routed;
  const idle = storeRequest(released.state, {
    ...after,
    phase: 'decoding',
    targetId: undefined,
  });
  return andThen({ ...released, state: idle }, (next) =>
    drainQueues(next, event),
  );
}

function handleRequestEnded(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'request.refused' | 'request.ended' },
): RoutingStep {
  const routed = state.requests.get(event.requestId);
  if (!routed) return withEffects(state, []);
  const released = releasePlacement(releaseShare(state, routed), routed);
  const removed = removeRequest(released.state, event.requestId);
  return andThen(
    andThen({ ...released, state: removed }, (next) =>
      admitLimitedRequests(next, event),
    ),
    (next) => drainQueues(next, event),
  );
}
