import { limitOf, lifetimeMsOf } from './_lib/limits.ts';
import { hasPermitAt, NO_SHARE, settlePermits } from './_lib/permits.ts';
import type { TargetProcess } from '../targetRoster/index.ts';
import type {
  LimitReport,
  LimitShare,
  TargetLimit,
  TargetLimitsEffect,
  TargetLimitsEvent,
  TargetLimitsState,
  TargetLimitsStep,
} from './types.ts';

export { limitShares, type LimitFleet } from './_lib/shares.ts';
export type * from './types.ts';

const MS_PER_S = 1000;

/** Limits before the first response. */
export const initialTargetLimits: TargetLimitsState = new Map();

/**
 * Maintains the limits that targets name in their responses, and the permits of this
 * entry to send to such targets. Answers the load pattern "one bound on many
 * senders".
 *
 * A limit belongs to one process of a target. It lasts until a later request is
 * answered without a limit, or until no response has confirmed it for a while. The
 * newest report wins, so entries that received the same reports agree.
 *
 * @param state - Current limits.
 * @param event - The event to apply.
 * @returns The new limits and the changes to log.
 *
 * @example
 * reduceTargetLimits(state, { type: 'targetLimits.sent', atMs, id, calls: 1 });
 */
export function reduceTargetLimits(
  state: TargetLimitsState,
  event: TargetLimitsEvent,
): TargetLimitsStep {
  switch (event.type) {
    case 'targetLimits.responded':
      return applyResponse(state, event.report, event.sentAtMs);
    case 'targetLimits.received':
      return event.reports.reduce<TargetLimitsStep>(
        (step, report) => {
          const next = withReport(step.state, report, 'reported by a peer');
          return {
            state: next.state,
            effects: [...step.effects, ...next.effects],
          };
        },
        { state, effects: [] },
      );
    case 'targetLimits.sent':
      return { state: withoutPermits(state, event), effects: [] };
    case 'targetLimits.ticked':
      return expire(withShares(state, event), event.atMs);
  }
}

/**
 * Checks whether this entry may send a request to a target now.
 *
 * @param state - Current limits.
 * @param target - The target.
 * @param nowMs - Current monotonic time.
 * @returns True if the target names no limit or this entry has a permit.
 *
 * @example
 * hasPermit(state.targetLimits, target, performance.now());
 */
export function hasPermit(
  state: TargetLimitsState,
  target: TargetProcess,
  nowMs: number,
): boolean {
  const limit = limitOf(state, target);
  return limit === undefined || hasPermitAt(limit, nowMs);
}

/**
 * Estimates how long it takes until some entry may send to one of several targets
 * for which this entry has no permit.
 *
 * @param state - Current limits.
 * @param targets - The targets.
 * @returns Time in ms; Infinity if none of them names a limit.
 *
 * @example
 * permitIntervalMs(state.targetLimits, targets);
 */
export function permitIntervalMs(
  state: TargetLimitsState,
  targets: readonly TargetProcess[],
): number {
  const requestsPerS = targets
    .map((target) => limitOf(state, target)?.requestsPerS ?? 0)
    .reduce((sum, one) => sum + one, 0);
  return MS_PER_S / requestsPerS;
}

/**
 * Lists the limits to report to peers.
 *
 * @param state - Current limits.
 * @param options - Whether to include what other entries reported.
 * @returns The newest report on each target.
 *
 * @example
 * limitReports(state.targetLimits, { includeReceived: false });
 */
export function limitReports(
  state: TargetLimitsState,
  options: { readonly includeReceived: boolean },
): readonly LimitReport[] {
  return [...state.values()]
    .filter((limit) => limit.isOwn || options.includeReceived)
    .map(({ id, bornMs, requestsPerS, atMs }) => ({
      id,
      bornMs,
      requestsPerS,
      atMs,
    }));
}

/** A response to a request that was sent before the limit was named says nothing
 * about its end. */
function applyResponse(
  state: TargetLimitsState,
  report: LimitReport,
  sentAtMs: number,
): TargetLimitsStep {
  const known = state.get(report.id);
  const isOutdated =
    report.requestsPerS === undefined &&
    (known === undefined || sentAtMs < known.atMs);
  return isOutdated
    ? { state, effects: [] }
    : withReport(state, report, 'response');
}

/** Records a report unless a newer one, or one on a later process, is known. */
function withReport(
  state: TargetLimitsState,
  report: LimitReport,
  reason: TargetLimitsEffect['reason'],
): TargetLimitsStep {
  const known = state.get(report.id);
  const isOlder =
    known !== undefined &&
    (known.bornMs > report.bornMs ||
      (known.bornMs === report.bornMs && known.atMs >= report.atMs));
  if (isOlder) return { state, effects: [] };
  const { id, requestsPerS } = report;
  const beforePerS = known?.requestsPerS;
  return {
    state: new Map(state).set(id, {
      ...permitsOf(known, report),
      ...report,
      isOwn: reason === 'response',
    }),
    effects:
      beforePerS === requestsPerS
        ? []
        : [changed({ id, requestsPerS, beforePerS, reason })],
  };
}

/** A target that begins to name a limit, or begins anew, starts without permits. */
function permitsOf(
  known: TargetLimit | undefined,
  report: LimitReport,
): Pick<TargetLimit, 'share' | 'permits' | 'permitsAtMs'> {
  const isKnown =
    known?.bornMs === report.bornMs && known.requestsPerS !== undefined;
  return isKnown
    ? known
    : { share: NO_SHARE, permits: 0, permitsAtMs: report.atMs };
}

function withoutPermits(
  state: TargetLimitsState,
  event: { readonly atMs: number; readonly id: string; readonly calls: number },
): TargetLimitsState {
  const limit = state.get(event.id);
  if (limit?.requestsPerS === undefined) return state;
  const settled = settlePermits(limit, event.atMs);
  const permits = settled.permits - event.calls;
  return new Map(state).set(limit.id, { ...settled, permits });
}

function withShares(
  state: TargetLimitsState,
  event: {
    readonly atMs: number;
    readonly shares: ReadonlyMap<string, LimitShare>;
  },
): TargetLimitsState {
  const changes = [...state.values()].flatMap((limit) => {
    const share = event.shares.get(limit.id) ?? NO_SHARE;
    const isSame =
      share.requestsPerS === limit.share.requestsPerS &&
      share.burst === limit.share.burst;
    if (isSame) return [];
    const { permits } = settlePermits(limit, event.atMs);
    return [
      {
        ...limit,
        share,
        permits: Math.min(permits, share.burst),
        permitsAtMs: event.atMs,
      },
    ];
  });
  return changes.length === 0
    ? state
    : new Map([
        ...state,
        ...changes.map((limit) => [limit.id, limit] as const),
      ]);
}

function expire(state: TargetLimitsState, atMs: number): TargetLimitsStep {
  const expired = [...state.values()].filter(
    (limit) => atMs - limit.atMs >= lifetimeMsOf(limit),
  );
  if (expired.length === 0) return { state, effects: [] };
  const ids = new Set(expired.map(({ id }) => id));
  return {
    state: new Map([...state].filter(([id]) => !ids.has(id))),
    effects: expired.flatMap(({ id, requestsPerS }) =>
      requestsPerS === undefined
        ? []
        : [
            changed({
              id,
              requestsPerS: undefined,
              beforePerS: requestsPerS,
              reason: 'expired',
            }),
          ],
    ),
  };
}

function changed(change: Omit<TargetLimitsEffect, 'type'>): TargetLimitsEffect {
  return { type: 'targetLimits.changed', ...change };
}
