import { estimatePrefillMs } from '../../costModel/index.ts';
import type { EventBase } from '../../events/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { resolveRow } from '../../resolveRow/index.ts';
import {
  candidatesFor,
  costsOf,
  ownWorkByTarget,
  servingTargets,
  workAt,
} from './engines.ts';
import { tagRequest } from './fairQueue.ts';
import { passLimit } from './limitQueue.ts';
import { askForPlacement } from './placing.ts';
import {
  drain,
  laneOf,
  MAX_WAITING,
  MAX_WAITING_PER_FLOW,
  waitingRequests,
} from './queue.ts';
import { dispatchTo, keep, refuse } from './requests.ts';
import { releaseShare } from './limited.ts';
import { noteWork } from './demand.ts';
import type { RoutedRequest, RoutingState, RoutingStep } from './types.ts';

/** Time after which a caller may ask again when no target serves. */
const NO_TARGET_RETRY_AFTER_MS = 1_000;

/** Queues a new request, sends it, or refuses it. */
export function admit(
  state: RoutingState,
  stamp: EventBase,
  request: RequestInfo,
): RoutingStep {
  const { requestId } = request;
  const targets = servingTargets(state, request.service);
  if (targets.length === 0) {
    return refuse(state, stamp, {
      requestId,
      reason: 'noTarget',
      retryAfterMs: NO_TARGET_RETRY_AFTER_MS,
    });
  }
  return passLimit(state, stamp, newRouted(state, stamp, request), proceed);
}

/** Sends or queues a request that has passed its limit. */
export function proceed(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const { request } = routed;
  const { requestId } = request;
  const targets = servingTargets(state, request.service);
  if (targets.some(({ targetKind }) => targetKind === 'service')) {
    return sendToService(state, stamp, routed);
  }
  const overflowMs = queueOverflowMs(state, request);
  if (overflowMs !== undefined) {
    return refuse(releaseShare(state, routed), stamp, {
      requestId,
      reason: 'queueFull',
      retryAfterMs: overflowMs,
    });
  }
  const noted = noteWork(state, request, routed.costMs);
  const tagged = tagRequest(
    noted,
    { lane: laneOf(request), workspace: request.workspace },
    { costMs: routed.costMs, weight: weightOf(state, request) },
  );
  return enqueue(tagged.state, stamp, { ...routed, startTag: tagged.startTag });
}

/** Looks for another target for a request whose attempt did not answer. */
export function readmit(
  state: RoutingState,
  stamp: EventBase,
  retry: {
    readonly requestId: string;
    readonly excludedTargetIds: readonly string[];
    readonly isolated: boolean;
  },
): RoutingStep {
  const known = state.requests.get(retry.requestId);
  if (!known) return { state, effects: [] };
  const routed: RoutedRequest = {
    ...known,
    phase: 'waiting',
    targetId: undefined,
    excludedTargetIds: retry.excludedTargetIds,
    isolated: retry.isolated,
    reservationId: undefined,
    parts: [],
    grantedParts: 0,
    phaseSinceMs: stamp.atMs,
  };
  const targets = servingTargets(state, known.request.service);
  return targets.some(({ targetKind }) => targetKind === 'service')
    ? sendToService(state, stamp, routed)
    : enqueue(state, stamp, routed);
}

function enqueue(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  if (routed.request.lengthClass === 'huge') {
    return askForPlacement(state, stamp, routed);
  }
  return drain(keep(state, routed), stamp);
}

function newRouted(
  state: RoutingState,
  stamp: EventBase,
  request: RequestInfo,
): RoutedRequest {
  return {
    request,
    phase: 'waiting',
    targetId: undefined,
    excludedTargetIds: [],
    isolated: false,
    costMs: estimatePrefillMs(
      costsOf(state, request.service),
      request.promptTokens,
    ),
    startTag: 0,
    phaseSinceMs: stamp.atMs,
    limitKey: undefined,
    predictedMs: 0,
    cachedTokens: 0,
    reservationId: undefined,
    parts: [],
    grantedParts: 0,
  };
}

/** Sends a call to the serving instance with the fewest calls in flight. */
function sendToService(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const { request, excludedTargetIds } = routed;
  const work = ownWorkByTarget(state, stamp.atMs);
  const inFlight = (targetId: string) => workAt(work, targetId).inFlight;
  const [target] = candidatesFor(state, request, {
    excludedTargetIds,
    atMs: stamp.atMs,
  }).toSorted((a, b) => inFlight(a.targetId) - inFlight(b.targetId));
  if (!target) {
    return refuse(state, stamp, {
      requestId: request.requestId,
      reason: excludedTargetIds.length > 0 ? 'targetsRefused' : 'noTarget',
      retryAfterMs: NO_TARGET_RETRY_AFTER_MS,
    });
  }
  return dispatchTo(state, stamp, routed, target.targetId);
}

function weightOf(state: RoutingState, request: RequestInfo): number {
  return resolveRow(state.rows, request).weight;
}

/** Returns when to come back, if the request's queue is full. */
function queueOverflowMs(
  state: RoutingState,
  request: RequestInfo,
): number | undefined {
  const waiting = waitingRequests(state);
  const lane = laneOf(request);
  const ofFlow = waiting.filter(
    (other) =>
      laneOf(other.request) === lane &&
      other.request.workspace === request.workspace,
  );
  if (waiting.length < MAX_WAITING && ofFlow.length < MAX_WAITING_PER_FLOW) {
    return undefined;
  }
  const engines = servingTargets(state, request.service).length;
  const workMs = ofFlow.reduce((sum, { costMs }) => sum + costMs, 0);
  return Math.max(workMs / engines, NO_TARGET_RETRY_AFTER_MS);
}
