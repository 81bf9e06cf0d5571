import {
  type ConditionsView,
  mostFrequentObstacle,
  type Obstacle,
  soonestEndMs,
  targetAvailability,
  targetConditions,
} from '../targetAvailability/index.ts';
import type { RosterState, RosterTarget } from '../targetRoster/index.ts';

/** What decides which targets this entry may send to. */
export interface TargetsView extends ConditionsView {
  readonly roster: RosterState;
}

/**
 * Lists the targets of a service that this entry may send a request to now.
 *
 * @param view - Targets and the state of their conditions.
 * @param service - Service name.
 * @param nowMs - Current monotonic time.
 * @param conditions - What may forbid it.
 * @returns Targets to which no condition applies.
 *
 * @example
 * availableTargets(state, 'ledger', performance.now());
 */
export function availableTargets(
  view: TargetsView,
  service: string,
  nowMs: number,
  conditions = targetConditions(view),
): readonly RosterTarget[] {
  return targetsOf(view, service).filter(
    (target) => targetAvailability(target, nowMs, conditions) === undefined,
  );
}

/**
 * Returns when a target of a service may take a request again.
 *
 * @param view - Targets and the state of their conditions.
 * @param service - Service name.
 * @param nowMs - Current monotonic time.
 * @param conditions - What may forbid it.
 * @returns Monotonic time, in the past if a target is available now; undefined if
 * the service has no target, or none for which the time is foreseeable.
 *
 * @example
 * soonestAvailableAtMs(state, 'ledger', performance.now());
 */
export function soonestAvailableAtMs(
  view: TargetsView,
  service: string,
  nowMs: number,
  conditions = targetConditions(view),
): number | undefined {
  const targets = targetsOf(view, service);
  const obstacles = obstaclesOf(targets, nowMs, conditions);
  if (obstacles.length < targets.length) return 0;
  const atMs = soonestEndMs(obstacles, nowMs);
  return Number.isFinite(atMs) ? atMs : undefined;
}

/**
 * Finds the condition that keeps requests from most targets of a service.
 *
 * @param view - Targets and the state of their conditions.
 * @param service - Service name.
 * @param nowMs - Current monotonic time.
 * @param conditions - What may forbid it.
 * @returns The condition; undefined if no condition applies to any target.
 *
 * @example
 * mainObstacle(state, 'ledger', performance.now()); // 'leaving'
 */
export function mainObstacle(
  view: TargetsView,
  service: string,
  nowMs: number,
  conditions = targetConditions(view),
): Obstacle['obstacle'] | undefined {
  return mostFrequentObstacle(
    obstaclesOf(targetsOf(view, service), nowMs, conditions),
  );
}

function targetsOf(
  { roster }: TargetsView,
  service: string,
): readonly RosterTarget[] {
  return [...roster.targets.values()].filter(
    (target) => target.service === service,
  );
}

function obstaclesOf(
  targets: readonly RosterTarget[],
  nowMs: number,
  conditions: ReturnType<typeof targetConditions>,
): readonly Obstacle[] {
  return targets.flatMap(
    (target) => targetAvailability(target, nowMs, conditions) ?? [],
  );
}
