import { estimateDecodeMs } from '../../costModel/index.ts';
import type { EventBase } from '../../events/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { candidatesFor, costsOf, lanesOf, ownWorkByTarget } from './engines.ts';
import { advanceVirtualTime, compareQueued } from './fairQueue.ts';
import { cachedTokensByTarget } from './prefixes.ts';
import { predict, type Prediction } from './predict.ts';
import { andThen, dispatchTo, refuse } from './requests.ts';
import type { RoutedRequest, RoutingState, RoutingStep } from './types.ts';

/** Wait at an engine up to which requests are sent on to it. */
const MAX_ENGINE_WAIT_MS = { short: 200, medium: 1_500, long: 1_500 };

/** Requests of one workspace and service that may wait at an entry. */
export const MAX_WAITING_PER_FLOW = 64;

/** Requests that may wait at an entry. */
export const MAX_WAITING = 512;

/** Least time after which a refused caller is asked to come back. */
const MIN_RETRY_AFTER_MS = 500;

/** Returns the queue that a prompt waits in; queues do not block each other. */
export function laneOf(request: RequestInfo): string {
  const group = request.lengthClass === 'short' ? 'short' : 'heavy';
  return `${request.service}/${group}`;
}

/** Returns the requests that wait at this entry. */
export function waitingRequests(state: RoutingState): readonly RoutedRequest[] {
  return [...state.requests.values()].filter(
    ({ phase }) => phase === 'waiting',
  );
}

/** Returns the expected time from the first token to the last. */
export function decodeMsOf(state: RoutingState, request: RequestInfo): number {
  const key = `${request.service}/${request.lengthClass}`;
  return estimateDecodeMs(costsOf(state, key), request.maxOutputTokens);
}

/**
 * Sends waiting requests to engines that have room, in fair order.
 *
 * A request that can no longer be in time is refused at once. The first
 * request of a lane that finds no room keeps those behind it waiting.
 */
export function drain(state: RoutingState, stamp: EventBase): RoutingStep {
  const waiting = waitingRequests(state).toSorted((a, b) =>
    compareQueued(toQueued(state, a), toQueued(state, b)),
  );
  const full = new Set<string>();
  return waiting.reduce<RoutingStep>(
    (done, routed) =>
      andThen(done, (current) => {
        const lane = laneOf(routed.request);
        if (full.has(lane)) return refuseIfLate(current, stamp, routed);
        const step = tryDispatch(current, stamp, routed);
        // One that waits to run apart does not keep those behind it waiting.
        const isFull = step.effects.length === 0 && !routed.isolated;
        if (isFull) full.add(lane);
        return step;
      }),
    { state, effects: [] },
  );
}

function toQueued(state: RoutingState, routed: RoutedRequest) {
  const { deadlineAtMs } = routed.request;
  const neededMs = routed.costMs + decodeMsOf(state, routed.request);
  return {
    startTag: routed.startTag,
    latestStartAtMs: deadlineAtMs - neededMs,
  };
}

function refuseIfLate(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const { latestStartAtMs } = toQueued(state, routed);
  if (latestStartAtMs >= stamp.atMs) return { state, effects: [] };
  return refuseLate(state, stamp, routed, stamp.atMs - latestStartAtMs);
}

function refuseLate(
  state: RoutingState,
  stamp: EventBase,
  { request }: RoutedRequest,
  overdueMs: number,
): RoutingStep {
  return refuse(state, stamp, {
    requestId: request.requestId,
    reason: 'tooLate',
    retryAfterMs: Math.max(overdueMs, MIN_RETRY_AFTER_MS),
  });
}

/** Sends a request to the best engine, if one has room for it. */
function tryDispatch(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const isolatedIds = isolatedTargetIds(state, routed);
  const best = choose(state, stamp, withExcluded(routed, isolatedIds));
  if (!best && isolatedIds.length > 0 && choose(state, stamp, routed)) {
    return refuseIfLate(state, stamp, routed);
  }
  if (!best) {
    return refuse(state, stamp, {
      requestId: routed.request.requestId,
      reason:
        routed.excludedTargetIds.length > 0 ? 'targetsRefused' : 'noTarget',
      retryAfterMs: MIN_RETRY_AFTER_MS,
    });
  }
  const overdueMs = overdueAt(state, stamp, routed, best);
  if (overdueMs > 0) return refuseLate(state, stamp, routed, overdueMs);
  if (!hasRoom(routed.request, best)) return { state, effects: [] };
  const advanced = advanceVirtualTime(
    state,
    laneOf(routed.request),
    routed.startTag,
  );
  const { cachedTokens, firstTokenMs, targetId } = best;
  const predicted = { ...routed, cachedTokens, predictedMs: firstTokenMs };
  return dispatchTo(advanced, stamp, predicted, targetId);
}

/** Returns the targets that an isolated request must keep away from. */
function isolatedTargetIds(
  state: RoutingState,
  routed: RoutedRequest,
): readonly string[] {
  if (!routed.isolated) return [];
  return [...state.requests.values()].flatMap((other) =>
    other.isolated && other !== routed && other.targetId !== undefined
      ? [other.targetId]
      : [],
  );
}

function withExcluded(
  routed: RoutedRequest,
  targetIds: readonly string[],
): RoutedRequest {
  if (targetIds.length === 0) return routed;
  const excludedTargetIds = [...routed.excludedTargetIds, ...targetIds];
  return { ...routed, excludedTargetIds };
}

/** Returns by how much a request would miss its deadline at a target. */
function overdueAt(
  state: RoutingState,
  { atMs }: EventBase,
  { request }: RoutedRequest,
  { firstTokenMs }: Prediction,
): number {
  const finishMs = firstTokenMs + decodeMsOf(state, request);
  return atMs + finishMs - request.deadlineAtMs;
}

function hasRoom(request: RequestInfo, best: Prediction): boolean {
  const { lengthClass } = request;
  if (lengthClass === 'huge') return true;
  return best.waitMs <= MAX_ENGINE_WAIT_MS[lengthClass];
}

/** Chooses the engine by score; out of its lane where it would be late else. */
function choose(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
): Prediction | undefined {
  const all = predictAll(state, stamp.atMs, routed);
  const best = leastBy(all, ({ score }) => score);
  if (!best || overdueAt(state, stamp, routed, best) <= 0) return best;
  return leastBy(all, ({ firstTokenMs }) => firstTokenMs);
}

function leastBy(
  predictions: readonly Prediction[],
  measure: (prediction: Prediction) => number,
): Prediction | undefined {
  return predictions.reduce<Prediction | undefined>(
    (least, next) => (least && measure(least) <= measure(next) ? least : next),
    undefined,
  );
}

/** Predicts a request's first token at every engine it may be sent to. */
function predictAll(
  state: RoutingState,
  atMs: number,
  routed: Pick<RoutedRequest, 'request' | 'excludedTargetIds'>,
): readonly Prediction[] {
  const { request, excludedTargetIds } = routed;
  const lanes = lanesOf(state, request.service);
  const work = ownWorkByTarget(state, atMs);
  const cached = cachedTokensByTarget(state, request, atMs);
  return candidatesFor(state, request, { excludedTargetIds, atMs }).map(
    ({ targetId }) =>
      predict(state, request, { targetId, lanes, work, cached, atMs }),
  );
}
