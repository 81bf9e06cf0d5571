import { estimatePrefillMs } from '../../costModel/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import type { Lanes } from '../../planLanes/index.ts';
import { costsOf, viewOf, workAt, type OwnWork } from './engines.ts';
import type { RoutingState } from './types.ts';

/** Time for which a prefill chunk of another prompt holds up a short one. */
export const CHUNK_MS = 60;

/** Extra wait assumed where a short prompt leaves its lane. */
const SHORT_IN_MIDDLE_MS = 40;
const SHORT_IN_LONG_MS = 400;

/** Extra wait assumed where a longer prompt leaves its lane. */
const HEAVY_IN_SHORT_MS = 6_000;
const HEAVY_IN_LONG_MS = 6_000;

/** Time of a batch step. */
const STEP_MS = 15;

/** What is expected of a request at a target. */
export interface Prediction {
  readonly targetId: string;
  /** Time before its prefill starts. */
  readonly waitMs: number;
  readonly firstTokenMs: number;
  readonly cachedTokens: number;
  /** First token time with the costs of leaving a lane; the least is chosen. */
  readonly score: number;
}

/** Predicts the first token of a request at a target. */
export function predict(
  state: RoutingState,
  request: RequestInfo,
  context: {
    readonly targetId: string;
    readonly lanes: Lanes;
    readonly work: ReadonlyMap<string, OwnWork>;
    /** Leading tokens that engines are expected to have cached. */
    readonly cached: ReadonlyMap<string, number>;
    readonly atMs: number;
  },
): Prediction {
  const { targetId, lanes, work, atMs } = context;
  const cachedTokens = context.cached.get(targetId) ?? 0;
  const prefillMs = estimatePrefillMs(
    costsOf(state, request.service),
    request.promptTokens,
    cachedTokens,
  );
  const view = viewOf(state, targetId);
  const own = workAt(work, targetId);
  const waitMs = waitAt(state, request, { targetId, own, atMs });
  const firstTokenMs = waitMs + prefillMs * view.slowness + STEP_MS;
  const leavingLaneMs = laneCostMs(request, lanes, targetId);
  const preferenceMs = state.preferencesMs.get(targetId) ?? 0;
  return {
    targetId,
    waitMs,
    firstTokenMs,
    cachedTokens,
    score: firstTokenMs + leavingLaneMs + preferenceMs,
  };
}

function waitAt(
  state: RoutingState,
  request: RequestInfo,
  at: {
    readonly targetId: string;
    readonly own: OwnWork;
    readonly atMs: number;
  },
): number {
  const { own } = at;
  const othersMs = othersWorkMs(state, request.service, at);
  if (request.lengthClass !== 'short') {
    return own.shortMs + own.heavyMs + othersMs;
  }
  const behindChunk = own.heavyMs > 0 || othersMs > 0;
  return own.shortMs + (behindChunk ? CHUNK_MS : 0);
}

/**
 * Prefill that others have at an engine, from its last report.
 *
 * The report is aged: an engine works off a millisecond of prefill in a
 * millisecond. What this entry sent before the report is part of it.
 */
function othersWorkMs(
  state: RoutingState,
  service: string,
  at: {
    readonly targetId: string;
    readonly own: OwnWork;
    readonly atMs: number;
  },
): number {
  const { load, loadAtMs } = viewOf(state, at.targetId);
  if (!load || load.queuedPrefillTokens === 0) return 0;
  const reportedMs = estimatePrefillMs(
    costsOf(state, service),
    load.queuedPrefillTokens,
  );
  const agedMs = reportedMs - (at.atMs - loadAtMs);
  const seenMs = at.own.shortMs + at.own.heavyMs - at.own.unseenMs;
  return Math.max(0, agedMs - seenMs);
}

function laneCostMs(
  request: RequestInfo,
  lanes: Lanes,
  targetId: string,
): number {
  if (request.lengthClass === 'short') {
    if (lanes.long.includes(targetId)) return SHORT_IN_LONG_MS;
    return lanes.middle.includes(targetId) ? SHORT_IN_MIDDLE_MS : 0;
  }
  if (lanes.long.includes(targetId)) return HEAVY_IN_LONG_MS;
  return lanes.short.includes(targetId) ? HEAVY_IN_SHORT_MS : 0;
}
