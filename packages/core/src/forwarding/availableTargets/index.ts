import {
  hasPermit,
  permitIntervalMs,
  type TargetLimitsState,
} from '../targetLimits/index.ts';
import {
  type RosterState,
  type RosterTarget,
  soonestUsableAtMs,
  usableTargets,
} from '../targetRoster/index.ts';

/** What decides which targets this entry may send to. */
export interface TargetsView {
  readonly roster: RosterState;
  readonly targetLimits: TargetLimitsState;
}

/**
 * Lists the targets of a service that this entry may send a request to now.
 *
 * @param view - Targets and their limits.
 * @param service - Service name.
 * @param nowMs - Current monotonic time.
 * @returns Usable targets that name no limit or for which this entry has a permit.
 *
 * @example
 * availableTargets(state, 'ledger', performance.now());
 */
export function availableTargets(
  view: TargetsView,
  service: string,
  nowMs: number,
): readonly RosterTarget[] {
  return usableTargets(view.roster, service, nowMs).filter((target) =>
    hasPermit(view.targetLimits, target, nowMs),
  );
}

/**
 * Returns when a target of a service may take a request again.
 *
 * @param view - Targets and their limits.
 * @param service - Service name.
 * @param nowMs - Current monotonic time.
 * @returns Monotonic time, in the past if a target is available now; undefined if
 * the service has no target, or only draining ones.
 *
 * @example
 * soonestAvailableAtMs(state, 'ledger', performance.now());
 */
export function soonestAvailableAtMs(
  view: TargetsView,
  service: string,
  nowMs: number,
): number | undefined {
  const usable = usableTargets(view.roster, service, nowMs);
  const isLimited =
    usable.length > 0 &&
    !usable.some((target) => hasPermit(view.targetLimits, target, nowMs));
  return isLimited
    ? nowMs + permitIntervalMs(view.targetLimits, usable)
    : soonestUsableAtMs(view.roster, service);
}
