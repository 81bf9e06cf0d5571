import { estimateDecodeMs } from '../../costModel/index.ts';
import type { EventBase } from '../../events/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import {
  candidatesFor,
  costModelOf,
  lanesOf,
  ownWorkByTarget,
} from './engines.ts';
import { advanceVirtualTime, compareQueued } from './fairQueue.ts';
import { cachedTokensByTarget } from './prefixes.ts';
import { predictFirstToken, type Prediction } from './predict.ts';
import { andThen, dispatchTo, refuse } from './routedRequests.ts';
import type { RoutedRequest, RoutingState, RoutingStep } from './types.ts';

/** Longest predicted wait at an engine at which a request is sent to it. */
const MAX_ENGINE_WAIT_MS = { short: 200, medium: 1_500, long: 1_500 };

/** Largest number of requests of one workspace in a queue at an entry. */
export const MAX_WAITING_PER_FLOW = 64;

/** Largest number of requests that may wait at an entry. */
export const MAX_WAITING = 512;

/** Shortest retry delay reported to a refused caller. */
const MIN_RETRY_AFTER_MS = 500;

/** Returns the key of a prompt's queue. Queues do not block one another. */
export function queueKeyOf(request: RequestInfo): string {
  const group = request.lengthClass === 'short' ? 'short' : 'heavy';
  return `${request.service}/${group}`;
}

/** Returns the requests that wait in this entry's queues. */
export function waitingRequests(state: RoutingState): readonly RoutedRequest[] {
  return [...state.requests.values()].filter(
    ({ phase }) => phase === 'waiting',
  );
}

/** Returns the expected time from the first to the last token. */
export function decodeMsOf(state: RoutingState, request: RequestInfo): number {
  const key = `${request.service}/${request.lengthClass}`;
  return estimateDecodeMs(costModelOf(state, key), request.maxOutputTokens);
}

/**
 * Sends waiting requests to engines with free capacity, in fair order.
 *
 * A request that can no longer meet its deadline is refused immediately. The
 * first request of a queue that finds no capacity blocks the ones behind it.
 */
export function drainQueues(
  state: RoutingState,
  eventBase: EventBase,
): RoutingStep {
  const waiting = waitingRequests(state).toSorted((a, b) =>
    compareQueued(toQueued(state, a), toQueued(state, b)),
  );
  const blockedKeys = new Set<string>();
  return waiting.reduce<RoutingStep>(
    (done, routed) =>
      andThen(done, (current) => {
        const queueKey = queueKeyOf(routed.request);
        if (blockedKeys.has(queueKey))
          return refuseIfLate(current, eventBase, routed);
        const step = tryDispatch(current, eventBase, routed);
        // An isolated request does not block the requests behind it.
        const isBlocked = step.effects.length === 0 && !routed.isolated;
        if (isBlocked) blockedKeys.add(queueKey);
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
  eventBase: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const { latestStartAtMs } = toQueued(state, routed);
  if (latestStartAtMs >= eventBase.atMs) return { state, effects: [] };
  return refuseLate(state, eventBase, routed, eventBase.atMs - latestStartAtMs);
}

function refuseLate(
  state: RoutingState,
  eventBase: EventBase,
  { request }: RoutedRequest,
  overdueMs: number,
): RoutingStep {
  return refuse(state, eventBase, {
    requestId: request.requestId,
    reason: 'tooLate',
    retryAfterMs: Math.max(overdueMs, MIN_RETRY_AFTER_MS),
  });
}

/** Sends a request to the best engine if that has capacity for it. */
function tryDispatch(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const isolatedIds = isolatedTargetIds(state, routed);
  const best = chooseEngine(
    state,
    eventBase,
    withExcluded(routed, isolatedIds),
  );
  if (
    !best &&
    isolatedIds.length > 0 &&
    chooseEngine(state, eventBase, routed)
  ) {
    return refuseIfLate(state, eventBase, routed);
  }
  if (!best) {
    return refuse(state, eventBase, {
      requestId: routed.request.requestId,
      reason:
        routed.excludedTargetIds.length > 0 ? 'targetsRefused' : 'noTarget',
      retryAfterMs: MIN_RETRY_AFTER_MS,
    });
  }
  const overdueMs = overdueMsAt(state, eventBase, routed, best);
  if (overdueMs > 0) return refuseLate(state, eventBase, routed, overdueMs);
  if (!hasRoom(routed.request, best)) return { state, effects: [] };
  const advanced = advanceVirtualTime(
    state,
    queueKeyOf(routed.request),
    routed.startTag,
  );
  const { cachedTokens, firstTokenMs, targetId } = best;
  const predicted = { ...routed, cachedTokens, predictedMs: firstTokenMs };
  return dispatchTo(advanced, eventBase, predicted, targetId);
}

/** Returns the targets on which other isolated requests run. */
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

/** Returns by how much a request would miss its deadline on a target. */
function overdueMsAt(
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

/**
 * Chooses the engine with the best score, or, when that would miss the
 * deadline, the one with the earliest first token.
 */
function chooseEngine(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
): Prediction | undefined {
  const all = predictAll(state, eventBase.atMs, routed);
  const best = minBy(all, ({ score }) => score);
  if (!best || overdueMsAt(state, eventBase, routed, best) <= 0) return best;
  return minBy(all, ({ firstTokenMs }) => firstTokenMs);
}

function minBy(
  predictions: readonly Prediction[],
  measure: (prediction: Prediction) => number,
): Prediction | undefined {
  return predictions.reduce<Prediction | undefined>(
    (least, next) => (least && measure(least) <= measure(next) ? least : next),
    undefined,
  );
}

/** Predicts a request's first token on every engine that it may be sent to. */
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
      predictFirstToken(state, request, {
        targetId,
        lanes,
        work,
        cached,
        atMs,
      }),
  );
}
