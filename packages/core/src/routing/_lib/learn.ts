import { learnDecode, learnPrefill } from '../../costModel/index.ts';
import type { SharedEvent } from '../../events/index.ts';
import {
  costsOf,
  keepView,
  MAX_EJECTED_PART,
  servingTargets,
  viewOf,
} from './engines.ts';
import { rememberPrefixes } from './prefixes.ts';
import { enter } from './requests.ts';
import type { EngineView, RoutedRequest, RoutingState } from './types.ts';

const SLOWNESS_GAIN = 0.1;
const MAX_SLOWNESS = 20;

/** Slowness at which an engine is ejected, once there are enough samples. */
const EJECT_AT_SLOWNESS = 6;
const MIN_SAMPLES = 8;
const EJECT_AT_FAILURES = 3;
const EJECTION_MS = 10_000;
const MAX_EJECTION_DOUBLINGS = 4;

/** Ends of an attempt that tell against the engine. */
const FAILURES: ReadonlySet<string> = new Set([
  'cut',
  'timedOut',
  'crossed',
  'failed',
  'notSent',
]);

/** Learns speeds, prefixes and the engine's health from a first token. */
export function noteFirstToken(
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
    learnPrefill(costsOf(state, request.service), {
      promptTokens: request.promptTokens,
      cachedTokens: routed.cachedTokens,
      firstTokenMs,
    }),
  );
  const learned = rememberPrefixes({ ...state, costs }, request, {
    targetId,
    atMs: event.atMs,
  });
  const entered = enter(learned, routed, { phase: 'decoding' }, event.atMs);
  return noteSpeed(entered, routed, {
    targetId,
    firstTokenMs,
    atMs: event.atMs,
  });
}

/** Learns the time between tokens and the engine's health from an end. */
export function noteAttemptEnd(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'attempt.ended' },
): RoutingState {
  const routed = state.requests.get(event.requestId);
  if (!routed) return state;
  const view = viewOf(state, event.targetId);
  if (FAILURES.has(event.end.type)) {
    const failuresInRow = view.failuresInRow + 1;
    return eject(state, routed, event.atMs, {
      targetId: event.targetId,
      view: { ...view, failuresInRow },
    });
  }
  if (event.end.type !== 'done') return state;
  const healthy = { ...view, failuresInRow: 0 };
  const kept = keepView(state, event.targetId, healthy);
  if (routed.phase !== 'decoding') return kept;
  const { request } = routed;
  const key = `${request.service}/${request.lengthClass}`;
  const costs = new Map(kept.costs);
  costs.set(
    key,
    learnDecode(costsOf(kept, key), {
      maxOutputTokens: request.maxOutputTokens,
      outputTokens: event.outputTokens,
      decodeMs: event.atMs - routed.phaseSinceMs,
    }),
  );
  return { ...kept, costs };
}

function noteSpeed(
  state: RoutingState,
  routed: RoutedRequest,
  seen: {
    readonly targetId: string;
    readonly firstTokenMs: number;
    readonly atMs: number;
  },
): RoutingState {
  if (routed.predictedMs <= 0) return state;
  const view = viewOf(state, seen.targetId);
  const ratio = Math.min(seen.firstTokenMs / routed.predictedMs, MAX_SLOWNESS);
  const slowness = Math.max(
    1,
    view.slowness + SLOWNESS_GAIN * (ratio - view.slowness),
  );
  return eject(state, routed, seen.atMs, {
    targetId: seen.targetId,
    view: { ...view, slowness, samples: view.samples + 1, failuresInRow: 0 },
  });
}

/** Ejects an engine that is too slow or fails, while enough others are left. */
function eject(
  state: RoutingState,
  routed: RoutedRequest,
  atMs: number,
  seen: { readonly targetId: string; readonly view: EngineView },
): RoutingState {
  const { targetId, view } = seen;
  const isSick =
    view.failuresInRow >= EJECT_AT_FAILURES ||
    (view.samples >= MIN_SAMPLES && view.slowness >= EJECT_AT_SLOWNESS);
  if (!isSick || !mayEject(state, routed.request.service, atMs)) {
    return keepView(state, targetId, view);
  }
  const doublings = Math.min(view.ejections, MAX_EJECTION_DOUBLINGS);
  return keepView(state, targetId, {
    ...view,
    ejections: view.ejections + 1,
    ejectedUntilMs: atMs + EJECTION_MS * 2 ** doublings,
    failuresInRow: 0,
    slowness: 1,
    samples: 0,
  });
}

function mayEject(state: RoutingState, service: string, atMs: number): boolean {
  const all = servingTargets(state, service);
  const out = all.filter(
    ({ targetId }) => viewOf(state, targetId).ejectedUntilMs > atMs,
  );
  return out.length + 1 <= all.length * MAX_EJECTED_PART;
}
