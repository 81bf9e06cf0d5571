import type {
  LimitReport,
  TargetLimit,
  TargetLimitsEffect,
  TargetLimitsEvent,
  TargetLimitsState,
  TargetLimitsStep,
} from './types.ts';

export type * from './types.ts';

/** A limit that no response has confirmed for this long has ended. */
const LIMIT_LIFETIME_MS = 10_000;

/** Limits before the first response. */
export const initialTargetLimits: TargetLimitsState = new Map();

/**
 * Maintains the limits that targets name in their responses.
 *
 * A limit belongs to one process of a target. It lasts until a later request is
 * answered without a limit, or until no response has confirmed it for a while.
 *
 * @param state - Current limits.
 * @param event - The event to apply.
 * @returns The new limits and the changes to log.
 *
 * @example
 * reduceTargetLimits(initialTargetLimits, { type: 'targetLimits.ticked', atMs });
 */
export function reduceTargetLimits(
  state: TargetLimitsState,
  event: TargetLimitsEvent,
): TargetLimitsStep {
  switch (event.type) {
    case 'targetLimits.responded':
      return applyResponse(state, event.report, event.sentAtMs);
    case 'targetLimits.ticked':
      return expire(state, event.atMs);
  }
}

/** A response to a request that was sent before the limit was named says nothing
 * about its end. */
function applyResponse(
  state: TargetLimitsState,
  report: LimitReport,
  sentAtMs: number,
): TargetLimitsStep {
  const known = state.get(report.id);
  const isNamed = report.requestsPerS !== undefined;
  const isOutdated = !isNamed && (known === undefined || sentAtMs < known.atMs);
  if (isOutdated) return { state, effects: [] };
  return withLimit(state, { ...report, isOwn: true }, 'response');
}

/** Records a report unless a newer one, or one on a later process, is known. */
function withLimit(
  state: TargetLimitsState,
  limit: TargetLimit,
  reason: TargetLimitsEffect['reason'],
): TargetLimitsStep {
  const known = state.get(limit.id);
  const isOlder =
    known !== undefined &&
    (known.bornMs > limit.bornMs ||
      (known.bornMs === limit.bornMs && known.atMs > limit.atMs));
  if (isOlder) return { state, effects: [] };
  const beforePerS = known?.requestsPerS;
  const { id, requestsPerS } = limit;
  return {
    state: new Map(state).set(id, limit),
    effects:
      beforePerS === requestsPerS
        ? []
        : [
            {
              type: 'targetLimits.changed',
              id,
              requestsPerS,
              beforePerS,
              reason,
            },
          ],
  };
}

function expire(state: TargetLimitsState, atMs: number): TargetLimitsStep {
  const expired = [...state.values()].filter(
    (limit) => atMs - limit.atMs >= LIMIT_LIFETIME_MS,
  );
  if (expired.length === 0) return { state, effects: [] };
  const ids = new Set(expired.map(({ id }) => id));
  return {
    state: new Map([...state].filter(([id]) => !ids.has(id))),
    effects: expired.flatMap(({ id, requestsPerS }) =>
      requestsPerS === undefined
        ? []
        : [
            {
              type: 'targetLimits.changed',
              id,
              requestsPerS: undefined,
              beforePerS: requestsPerS,
              reason: 'expired',
            },
          ],
    ),
  };
}
