import { estimatePrefillMs } from '../../costModel/index.ts';
import type { EventBase } from '../../events/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { resolveRow } from '../../resolveRow/index.ts';
import {
  candidatesFor,
  costModelOf,
  ownWorkByTarget,
  servingTargets,
  workAt,
} from './engines.ts';
import { assignStartTag } from './fairQueue.ts';
import { applyLimit } from './limitQueue.ts';
import { requestPlacement } from './placementRequests.ts';
import {
  drainQueues,
  queueKeyOf,
  MAX_WAITING,
  MAX_WAITING_PER_FLOW,
  waitingRequests,
} from './queue.ts';
import { dispatchTo, storeRequest, refuse } from './routedRequests.ts';
import { releaseShare } from './limitUse.ts';
import { recordWork } from './demand.ts';
import type { RoutedRequest, RoutingState, RoutingStep } from './types.ts';

/** Shortest retry delay reported to a caller that is refused at arrival. */
const NO_TARGET_RETRY_AFTER_MS = 1_000;

/** Applies the limit to a new request, then sends, queues or refuses it. */
export function admitRequest(
  state: RoutingState,
  eventBase: EventBase,
  request: RequestInfo,
): RoutingStep {
  const { requestId } = request;
  const targets = servingTargets(state, request.service);
  if (targets.length === 0) {
    return refuse(state, eventBase, {
      requestId,
      reason: 'noTarget',
      retryAfterMs: NO_TARGET_RETRY_AFTER_MS,
    });
  }
  return applyLimit(
    state,
    eventBase,
    createRoutedRequest(state, eventBase, request),
    sendOrQueue,
  );
}

/** Sends or queues a request that its limit admits. */
export function sendOrQueue(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const { request } = routed;
  const { requestId } = request;
  const targets = servingTargets(state, request.service);
  if (targets.some(({ targetKind }) => targetKind === 'service')) {
    return sendToService(state, eventBase, routed);
  }
  const queueRetryMs = queueFullRetryAfterMs(state, request);
  if (queueRetryMs !== undefined) {
    return refuse(releaseShare(state, routed), eventBase, {
      requestId,
      reason: 'queueFull',
      retryAfterMs: queueRetryMs,
    });
  }
  const recorded = recordWork(state, request, routed.costMs);
  const tagged = assignStartTag(
    recorded,
    { queueKey: queueKeyOf(request), workspace: request.workspace },
    { costMs: routed.costMs, weight: weightOf(state, request) },
  );
  return enqueue(tagged.state, eventBase, {
    ...routed,
    startTag: tagged.startTag,
  });
}

/**
 * Routes a request again, to another target, after an attempt without answer.
 */
export function rerouteRequest(
  state: RoutingState,
  eventBase: EventBase,
  retry: {
    readonly requestId: string;
    readonly excludedTargetIds: readonly string[];
    readonly isolated: boolean;
  },
): RoutingStep {
  const existing = state.requests.get(retry.requestId);
  if (!existing) return { state, effects: [] };
  const routed: RoutedRequest = {
    ...existing,
    phase: 'waiting',
    targetId: undefined,
    excludedTargetIds: retry.excludedTargetIds,
    isolated: retry.isolated,
    reservationId: undefined,
    parts: [],
    grantedParts: 0,
    phaseSinceMs: eventBase.atMs,
  };
  const targets = servingTargets(state, existing.request.service);
  return targets.some(({ targetKind }) => targetKind === 'service')
    ? sendToService(state, eventBase, routed)
    : enqueue(state, eventBase, routed);
}

function enqueue(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  if (routed.request.lengthClass === 'huge') {
    return requestPlacement(state, eventBase, routed);
  }
  return drainQueues(storeRequest(state, routed), eventBase);
}

function createRoutedRequest(
  state: RoutingState,
  eventBase: EventBase,
  request: RequestInfo,
): RoutedRequest {
  return {
    request,
    phase: 'waiting',
    targetId: undefined,
    excludedTargetIds: [],
    isolated: false,
    costMs: estimatePrefillMs(
      costModelOf(state, request.service),
      request.promptTokens,
    ),
    startTag: 0,
    phaseSinceMs: eventBase.atMs,
    limitKey: undefined,
    predictedMs: 0,
    cachedTokens: 0,
    reservationId: undefined,
    parts: [],
    grantedParts: 0,
  };
}

/** Sends a call to the service target with the fewest calls in flight. */
function sendToService(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const { request, excludedTargetIds } = routed;
  const work = ownWorkByTarget(state, eventBase.atMs);
  const inFlight = (targetId: string) => workAt(work, targetId).inFlight;
  const [target] = candidatesFor(state, request, {
    excludedTargetIds,
    atMs: eventBase.atMs,
  }).toSorted((a, b) => inFlight(a.targetId) - inFlight(b.targetId));
  if (!target) {
    return refuse(state, eventBase, {
      requestId: request.requestId,
      reason: excludedTargetIds.length > 0 ? 'targetsRefused' : 'noTarget',
      retryAfterMs: NO_TARGET_RETRY_AFTER_MS,
    });
  }
  return dispatchTo(state, eventBase, routed, target.targetId);
}

function weightOf(state: RoutingState, request: RequestInfo): number {
  return resolveRow(state.rows, request).weight;
}

/** Returns the retry delay if the request's queue is full, else undefined. */
function queueFullRetryAfterMs(
  state: RoutingState,
  request: RequestInfo,
): number | undefined {
  const waiting = waitingRequests(state);
  const queueKey = queueKeyOf(request);
  const waitingOfFlow = waiting.filter(
    (other) =>
      queueKeyOf(other.request) === queueKey &&
      other.request.workspace === request.workspace,
  );
  if (
    waiting.length < MAX_WAITING &&
    waitingOfFlow.length < MAX_WAITING_PER_FLOW
  ) {
    return undefined;
  }
  const engines = servingTargets(state, request.service).length;
  const queuedMs = waitingOfFlow.reduce((sum, { costMs }) => sum + costMs, 0);
  return Math.max(queuedMs / engines, NO_TARGET_RETRY_AFTER_MS);
}
