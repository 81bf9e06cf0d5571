import { emptyBucketMap } from '../bucketMap/index.ts';
import { indexRows } from '../indexRows/index.ts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import type { Slice } from '../slice/index.ts';
import { admit, proceed, readmit } from './_lib/admit.ts';
import {
  keepView,
  orderTargets,
  servingTargets,
  viewOf,
} from './_lib/engines.ts';
import { dropIdleFlows } from './_lib/fairQueue.ts';
import { noteAttemptEnd, noteFirstToken } from './_lib/learn.ts';
import { deliverToSelf, handleMessage, reportDemand } from './_lib/messages.ts';
import { placerOf } from './_lib/peers.ts';
import { expirePlacements, place } from './_lib/placer.ts';
import {
  announceHeld,
  askAgain,
  noteReserved,
  releaseHuge,
  toPlacer,
} from './_lib/placing.ts';
import { applyCacheEvents } from './_lib/prefixes.ts';
import { releaseShare, replaceLimits, reportLimits } from './_lib/limited.ts';
import { retryLimited } from './_lib/limitQueue.ts';
import { drain } from './_lib/queue.ts';
import { andThen, forget, keep, withEffects } from './_lib/requests.ts';
import type {
  RoutingEffect,
  RoutingEvent,
  RoutingState,
  RoutingStep,
} from './_lib/types.ts';

export { MAX_EJECTED_PART } from './_lib/engines.ts';
export { KEEP_TURN_AFTER_MS } from './_lib/placer.ts';
export { MAX_WAITING, MAX_WAITING_PER_FLOW } from './_lib/queue.ts';
export type {
  RoutedRequest,
  RoutingEffect,
  RoutingEvent,
  RoutingState,
} from './_lib/types.ts';

/** Engines up to which one load is read at each tick. */
const FULL_RATE_ENGINES = 100;

/**
 * Chooses when and where each request runs, or refuses it.
 *
 * Prompts wait in fair queues until an engine of their lane has room; the
 * longest ones go through their model's placing entry. Calls of plain services
 * are sent at once.
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
      return withEffects(orderTargets({ ...state, self: event.self }), []);
    case 'table.installed':
      return withEffects(
        replaceLimits({ ...state, rows: indexRows(event.rows) }),
        [],
      );
    case 'targets.changed':
      return drain(orderTargets({ ...state, targets: event.targets }), event);
    case 'members.changed':
      return noteMembers(state, event);
    case 'clock.ticked':
      return tick(state, event);
    case 'request.arrived':
      return admit(state, event, event.request);
    case 'request.retryWanted':
      return readmit(state, event, event);
    case 'attempt.firstToken':
      return noteProgress(state, event);
    case 'attempt.ended':
      return noteAttempt(state, event);
    case 'request.refused':
    case 'request.ended':
      return endRequest(state, event);
    case 'routing.loadRead':
      return withEffects(noteLoad(state, event), []);
    case 'routing.cacheRead':
      return withEffects(
        applyCacheEvents(state, event.targetId, event.events, event.atMs),
        [],
      );
    case 'routing.reserved':
      return noteReserved(state, event, event);
    case 'routing.peerReceived':
      return handleMessage(state, event, event.fromEntryId, event.message);
    default:
      return withEffects(state, []);
  }
}

/** Lets requests pass that waited for a share of their limit. */
function passWaiting(state: RoutingState, stamp: EventBase): RoutingStep {
  return retryLimited(state, stamp, proceed);
}

function tick(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'clock.ticked' },
): RoutingStep {
  const expired = expirePlacements(dropIdleFlows(state), event, new Set());
  const steps = [
    passWaiting,
    drain,
    askAgain,
    place,
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
 * Reads the load of the engines of the models in use, one at a tick in turn.
 *
 * Beyond a number of engines the reads become rarer in proportion: a report
 * that is a minute old tells nothing, and its bytes would not be worth it.
 */
function readLoads(state: RoutingState): RoutingStep {
  const models = [...new Set([...state.lanes.keys(), ...state.work.keys()])];
  const engines = models.flatMap((model) => servingTargets(state, model));
  if (engines.length === 0) return withEffects(state, []);
  const credit =
    state.loadCredit + Math.min(1, FULL_RATE_ENGINES / engines.length);
  if (credit < 1) return withEffects({ ...state, loadCredit: credit }, []);
  const { loadCursor } = state;
  const targetId = engines[loadCursor % engines.length]?.targetId ?? '';
  const next = { ...state, loadCursor: loadCursor + 1, loadCredit: credit - 1 };
  return withEffects(next, [{ type: 'routing.readLoad', targetId }]);
}

function noteLoad(
  state: RoutingState,
  { targetId, load, atMs }: RoutingEvent & { type: 'routing.loadRead' },
): RoutingState {
  if (!load) return state;
  const view = viewOf(state, targetId);
  const loadAtMs = atMs - load.ageMs;
  return keepView(state, targetId, { ...view, load, loadAtMs });
}

function noteMembers(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'members.changed' },
): RoutingStep {
  const dead = new Set(event.dead.map(({ entryId }) => entryId));
  const models = new Set(
    [...state.requests.values()].map(({ request }) => request.service),
  );
  const viewed = { ...state, live: event.live, viewSinceMs: event.atMs };
  const changed = expirePlacements(replaceLimits(viewed), event, dead);
  const hasNewPlacer = [...models].some(
    (model) => placerOf(state, model) !== placerOf(changed, model),
  );
  return hasNewPlacer ? announceHeld(changed, event) : withEffects(changed, []);
}

function noteProgress(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'attempt.firstToken' },
): RoutingStep {
  const { requestId } = event;
  const request = state.requests.get(requestId)?.request;
  const noted = drain(noteFirstToken(state, event), event);
  if (request?.lengthClass !== 'huge') return noted;
  const message = { type: 'placementPrefilled', requestId } as const;
  return {
    state: noted.state,
    effects: [...noted.effects, toPlacer(state, request, message)],
  };
}

function noteAttempt(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'attempt.ended' },
): RoutingStep {
  const noted = noteAttemptEnd(state, event);
  const routed = noted.requests.get(event.requestId);
  if (!routed) return withEffects(noted, []);
  const released = releaseHuge(noted, routed);
  const after = released.state.requests.get(event.requestId) ?? routed;
  const idle = keep(released.state, {
    ...after,
    phase: 'decoding',
    targetId: undefined,
  });
  return andThen({ ...released, state: idle }, (next) => drain(next, event));
}

function endRequest(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'request.refused' | 'request.ended' },
): RoutingStep {
  const routed = state.requests.get(event.requestId);
  if (!routed) return withEffects(state, []);
  const released = releaseHuge(releaseShare(state, routed), routed);
  const forgotten = forget(released.state, event.requestId);
  return andThen(
    andThen({ ...released, state: forgotten }, (next) =>
      passWaiting(next, event),
    ),
    (next) => drain(next, event),
  );
}
