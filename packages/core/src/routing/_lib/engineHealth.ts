import { learnDecode, learnPrefill } from '../../costModel/index.ts';
import type { SharedEvent } from '../../events/index.ts';
import {
  costModelOf,
  storeEngineView,
  MAX_EJECTED_FRACTION,
  servingTargets,
  engineViewOf,
} from './engines.ts';
import { rememberPrefixes } from './prefixes.ts';
import { enterPhase } from './routedRequests.ts';
import type { EngineView, RoutedRequest, RoutingState } from './types.ts';

/** Weight of a new sample in the moving average of slowness. */
const SLOWNESS_GAIN = 0.1;
const MAX_SLOWNESS = 20;

/** Slowness from which an engine is ejected, once there are enough samples. */
const EJECTION_SLOWNESS = 6;
const MIN_SLOWNESS_SAMPLES = 8;

/** Consecutive failures at which an engine is ejected. */
const EJECTION_FAILURES = 3;

/**
 * Duration of the first ejection. Each further one doubles it, at most
 * MAX_EJECTION_DOUBLINGS times.
 */
const EJECTION_MS = 10_000;
const MAX_EJECTION_DOUBLINGS = 4;

/** Attempt end types that count as a failure of the engine. */
const FAILURE_TYPES: ReadonlySet<string> = new Set([
  'cut',
  'timedOut',
  'crossed',
  'failed',
  'notSent',
]);

/** Updates the cost model, cached prefixes and slowness at a first token. */
export function recordFirstToken(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'attempt.firstToken' },
): RoutingState {
  const routed = state.requests.get(event.requestId);
  if (routed?.phase !== 'prefill') return state;
  const { request, targetId = event.targetId } = routed;
  const firstTokenMs = event.atMs - routed.phaseSinceMs;
  const costs = new Map(state.costs);
  costs.set(
    request.service,
    learnPrefill(costModelOf(state, request.service), {
      promptTokens: request.promptTokens,
      cachedTokens: routed.cachedTokens,
      firstTokenMs,
    }),
  );
  const learned = rememberPrefixes({ ...state, costs }, request, {
    targetId,
    atMs: event.atMs,
  });
  const decoding = enterPhase(
    learned,
    routed,
    { phase: 'decoding' },
    event.atMs,
  );
  return updateSlowness(decoding, routed, {
    targetId,
    firstTokenMs,
    atMs: event.atMs,
  });
}

/**
 * Updates the decode cost and the engine's failure count at an attempt's end.
 */
export function recordAttemptEnd(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'attempt.ended' },
): RoutingState {
  const routed = state.requests.get(event.requestId);
  if (!routed) return state;
  const view = engineViewOf(state, event.targetId);
  if (FAILURE_TYPES.has(event.end.type)) {
    const consecutiveFailures = view.consecutiveFailures + 1;
    return ejectIfUnhealthy(state, routed, event.atMs, {
      targetId: event.targetId,
      view: { ...view, consecutiveFailures },
    });
  }
  if (event.end.type !== 'done') return state;
  const healthy = { ...view, consecutiveFailures: 0 };
  const updated = storeEngineView(state, event.targetId, healthy);
  if (routed.phase !== 'decoding') return updated;
  const { request } = routed;
  const key = `${request.service}/${request.lengthClass}`;
  const costs = new Map(updated.costs);
  costs.set(
    key,
    learnDecode(costModelOf(updated, key), {
      maxOutputTokens: request.maxOutputTokens,
      outputTokens: event.outputTokens,
      decodeMs: event.atMs - routed.phaseSinceMs,
    }),
  );
  return { ...updated, costs };
}

function updateSlowness(
  state: RoutingState,
  routed: RoutedRequest,
  observed: {
    readonly targetId: string;
    readonly firstTokenMs: number;
    readonly atMs: number;
  },
): RoutingState {
  if (routed.predictedMs <= 0) return state;
  const view = engineViewOf(state, observed.targetId);
  const ratio = Math.min(
    observed.firstTokenMs / routed.predictedMs,
    MAX_SLOWNESS,
  );
  const slowness = Math.max(
    1,
    view.slowness + SLOWNESS_GAIN * (ratio - view.slowness),
  );
  return ejectIfUnhealthy(state, routed, observed.atMs, {
    targetId: observed.targetId,
    view: {
      ...view,
      slowness,
      samples: view.samples + 1,
      consecutiveFailures: 0,
    },
  });
}

/**
 * Stores an engine's view, and ejects the engine if it is too slow or failing,
 * unless too many of the service's engines are ejected already.
 */
function ejectIfUnhealthy(
  state: RoutingState,
  routed: RoutedRequest,
  atMs: number,
  candidate: { readonly targetId: string; readonly view: EngineView },
): RoutingState {
  const { targetId, view } = candidate;
  const isUnhealthy =
    view.consecutiveFailures >= EJECTION_FAILURES ||
    (view.samples >= MIN_SLOWNESS_SAMPLES &&
      view.slowness >= EJECTION_SLOWNESS);
  if (!isUnhealthy || !canEject(state, routed.request.service, atMs)) {
    return storeEngineView(state, targetId, view);
  }
  const doublings = Math.min(view.ejections, MAX_EJECTION_DOUBLINGS);
  return storeEngineView(state, targetId, {
    ...view,
    ejections: view.ejections + 1,
    ejectedUntilMs: atMs + EJECTION_MS * 2 ** doublings,
    consecutiveFailures: 0,
    slowness: 1,
    samples: 0,
  });
}

function canEject(state: RoutingState, service: string, atMs: number): boolean {
  const all = servingTargets(state, service);
  const ejected = all.filter(
    ({ targetId }) => engineViewOf(state, targetId).ejectedUntilMs > atMs,
  );
  return ejected.length + 1 <= all.length * MAX_EJECTED_FRACTION;
}
