import type { TargetProcess } from '../../targetRoster/index.ts';
import type { TargetLimit, TargetLimitsState } from '../types.ts';

/** Rate at which a target with a limit near 0 is tried, to find out whether the
 * limit still holds. */
const MIN_REQUESTS_PER_S = 0.25;

/** A limit that no response has confirmed for this long has ended. */
const MIN_LIFETIME_MS = 10_000;

/** Trials that may pass without a confirmation, as a target with a low limit is
 * rarely tried. */
const LIFETIME_TRIALS = 3;

const MS_PER_S = 1000;

/** A limit that is in force. */
export type NamedTargetLimit = TargetLimit & { readonly requestsPerS: number };

/** Returns the limit that is in force for a process; undefined if there is none. */
export function limitOf(
  state: TargetLimitsState,
  target: TargetProcess,
): NamedTargetLimit | undefined {
  const limit = state.get(target.id);
  return limit?.requestsPerS === undefined || limit.bornMs !== target.bornMs
    ? undefined
    : { ...limit, requestsPerS: trialRate(limit.requestsPerS) };
}

/** Time without confirmation after which a limit has ended. */
export function lifetimeMsOf({ requestsPerS }: TargetLimit): number {
  return requestsPerS === undefined
    ? MIN_LIFETIME_MS
    : Math.max(
        MIN_LIFETIME_MS,
        (LIFETIME_TRIALS * MS_PER_S) / trialRate(requestsPerS),
      );
}

/** A limit as it is observed: never so low that the target is not tried again. */
export function trialRate(requestsPerS: number): number {
  return Math.max(requestsPerS, MIN_REQUESTS_PER_S);
}
