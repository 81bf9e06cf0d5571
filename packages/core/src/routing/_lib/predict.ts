import { estimatePrefillMs } from '../../costModel/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import type { Lanes } from '../../planLanes/index.ts';
import { costModelOf, engineViewOf, workAt, type OwnWork } from './engines.ts';
import type { RoutingState } from './types.ts';

/** Time by which a prefill chunk of another prompt delays a short one. */
export const PREFILL_CHUNK_MS = 60;

/**
 * Extra wait assumed for a short prompt outside its lane; added to the score.
 */
const SHORT_IN_MIDDLE_MS = 40;
const SHORT_IN_LONG_MS = 400;

/**
 * Extra wait assumed for a longer prompt outside its lane; added to the score.
 */
const HEAVY_IN_SHORT_MS = 6_000;
const HEAVY_IN_LONG_MS = 6_000;

/** Duration of a batch step. */
const BATCH_STEP_MS = 15;

/** Predicted times of a request on a target. */
export interface Prediction {
  readonly targetId: string;
  /** Time until its prefill starts. */
  readonly waitMs: number;
  readonly firstTokenMs: number;
  readonly cachedTokens: number;
  /**
   * First token time plus lane penalty and preference; the lowest is chosen.
   */
  readonly score: number;
}

/** Predicts the time to first token of a request on a target. */
export function predictFirstToken(
  state: RoutingState,
  request: RequestInfo,
  context: {
    readonly targetId: string;
    readonly lanes: Lanes;
    readonly work: ReadonlyMap<string, OwnWork>;
    /** Leading prompt tokens that each target is expected to have cached. */
    readonly cached: ReadonlyMap<string, number>;
    readonly atMs: number;
  },
): Prediction {
  const { targetId, lanes, work, atMs } = context;
  const cachedTokens = context.cached.get(targetId) ?? 0;
  const prefillMs = estimatePrefillMs(
    costModelOf(state, request.service),
    request.promptTokens,
    cachedTokens,
  );
  const view = engineViewOf(state, targetId);
  const own = workAt(work, targetId);
  const waitMs = estimateWaitMs(state, request, { targetId, own, atMs });
  const firstTokenMs = waitMs + prefillMs * view.slowness + BATCH_STEP_MS;
  const penaltyMs = lanePenaltyMs(request, lanes, targetId);
  const preferenceMs = state.preferencesMs.get(targetId) ?? 0;
  return {
    targetId,
    waitMs,
    firstTokenMs,
    cachedTokens,
    score: firstTokenMs + penaltyMs + preferenceMs,
  };
}

function estimateWaitMs(
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
  const isBehindChunk = own.heavyMs > 0 || othersMs > 0;
  return own.shortMs + (isBehindChunk ? PREFILL_CHUNK_MS : 0);
}

/**
 * Estimates the prefill work that other entries have queued at an engine.
 *
 * Starts from the engine's last load report and subtracts the time since then,
 * as an engine processes one millisecond of prefill work per millisecond, and
 * this entry's own work that the report already includes.
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
  const { load, loadAtMs } = engineViewOf(state, at.targetId);
  if (!load || load.queuedPrefillTokens === 0) return 0;
  const reportedMs = estimatePrefillMs(
    costModelOf(state, service),
    load.queuedPrefillTokens,
  );
  const agedMs = reportedMs - (at.atMs - loadAtMs);
  const ownReportedMs = at.own.shortMs + at.own.heavyMs - at.own.unreportedMs;
  return Math.max(0, agedMs - ownReportedMs);
}

function lanePenaltyMs(
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
