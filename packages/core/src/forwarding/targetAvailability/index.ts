import { evacuationOf, outdatedUntilMs } from '../evacuations/index.ts';
import { warmUpObstacle } from '../coldTargets/index.ts';
import { hasPermit, permitIntervalMs } from '../targetLimits/index.ts';
import type { RosterTarget } from '../targetRoster/index.ts';
import type { ConditionsView, Obstacle, TargetCondition } from './types.ts';

export type * from './types.ts';

/** Obstacles that end for one request at a time: the rates of several such targets
 * add up. */
const RATE_OBSTACLES: ReadonlySet<Obstacle['obstacle']> = new Set([
  'limited',
  'warmingUp',
]);

/**
 * Lists the conditions under which a target gets no requests.
 *
 * @param view - State that the conditions depend on.
 * @returns One function for each condition.
 *
 * @example
 * targetAvailability(target, nowMs, targetConditions(state));
 */
export function targetConditions(
  view: ConditionsView,
): readonly TargetCondition[] {
  return [...lastingConditions(view), limited(view), warmingUp(view)];
}

/**
 * Lists the conditions that also apply to a request which was already assigned to a
 * target. Permits are not among them, because such a request has used one.
 *
 * @param view - State that the conditions depend on.
 * @returns One function for each condition.
 *
 * @example
 * targetAvailability(target, nowMs, lastingConditions(state));
 */
export function lastingConditions(
  view: ConditionsView,
): readonly TargetCondition[] {
  return [leaving, missing, paused, unconfirmed, evacuated(view)];
}

/**
 * Determines whether a request may be sent to a target now.
 *
 * @param target - The target.
 * @param nowMs - Current monotonic time.
 * @param conditions - What may forbid it; see {@link targetConditions}.
 * @returns Undefined if it may be sent, or else the obstacle that lasts longest; of
 * those that last equally long, the first.
 *
 * @example
 * targetAvailability(target, nowMs, targetConditions(state))?.obstacle; // 'paused'
 */
export function targetAvailability(
  target: RosterTarget,
  nowMs: number,
  conditions: readonly TargetCondition[],
): Obstacle | undefined {
  return conditions
    .flatMap((condition) => condition(target, nowMs) ?? [])
    .reduce<Obstacle | undefined>(
      (longest, one) =>
        longest === undefined || one.untilMs > longest.untilMs ? one : longest,
      undefined,
    );
}

/**
 * Returns when the first of several obstacles ends for a request of any entry.
 *
 * @param obstacles - Obstacles of different targets.
 * @param nowMs - Current monotonic time.
 * @returns Monotonic time; Infinity if it is unknown.
 *
 * @example
 * soonestEndMs(obstacles, performance.now());
 */
export function soonestEndMs(
  obstacles: readonly Obstacle[],
  nowMs: number,
): number {
  const isRate = ({ obstacle }: Obstacle) => RATE_OBSTACLES.has(obstacle);
  const requestsPerMs = obstacles
    .filter(isRate)
    .reduce((sum, { untilMs }) => sum + 1 / (untilMs - nowMs), 0);
  return Math.min(
    ...obstacles.filter((one) => !isRate(one)).map(({ untilMs }) => untilMs),
    nowMs + 1 / requestsPerMs,
  );
}

/**
 * Finds the obstacle that applies to most targets.
 *
 * @param obstacles - Obstacles of different targets.
 * @returns The most frequent one, of equally frequent ones the first; undefined if
 * there is none.
 *
 * @example
 * mostFrequentObstacle(obstacles); // 'limited'
 */
export function mostFrequentObstacle(
  obstacles: readonly Obstacle[],
): Obstacle['obstacle'] | undefined {
  const counts = obstacles.reduce(
    (map, { obstacle }) => map.set(obstacle, (map.get(obstacle) ?? 0) + 1),
    new Map<Obstacle['obstacle'], number>(),
  );
  return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
}

function leaving({ draining }: RosterTarget): Obstacle | undefined {
  return draining ? { obstacle: 'leaving', untilMs: Infinity } : undefined;
}

/** From the end of a hold on, also before the roster drops the target. */
function missing(
  { removalDueAtMs = Infinity }: RosterTarget,
  nowMs: number,
): Obstacle | undefined {
  return removalDueAtMs <= nowMs
    ? { obstacle: 'leaving', untilMs: Infinity }
    : undefined;
}

function paused(
  { pausedUntilMs }: RosterTarget,
  nowMs: number,
): Obstacle | undefined {
  return pausedUntilMs > nowMs
    ? { obstacle: 'paused', untilMs: pausedUntilMs }
    : undefined;
}

function unconfirmed(
  { unconfirmedUntilMs }: RosterTarget,
  nowMs: number,
): Obstacle | undefined {
  return unconfirmedUntilMs > nowMs
    ? { obstacle: 'unconfirmed', untilMs: unconfirmedUntilMs }
    : undefined;
}

/** While the facts on evacuations may be outdated, any target may be evacuated. */
function evacuated({ evacuations }: ConditionsView): TargetCondition {
  return ({ dataCentre }, nowMs) => {
    const untilMs =
      evacuationOf(evacuations, dataCentre) === undefined
        ? outdatedUntilMs(evacuations, nowMs)
        : Infinity;
    return untilMs === undefined
      ? undefined
      : { obstacle: 'evacuated', untilMs };
  };
}

function limited({ targetLimits }: ConditionsView): TargetCondition {
  return (target, nowMs) =>
    hasPermit(targetLimits, target, nowMs)
      ? undefined
      : {
          obstacle: 'limited',
          untilMs: nowMs + permitIntervalMs(targetLimits, [target]),
        };
}

function warmingUp({ coldTargets }: ConditionsView): TargetCondition {
  return (target, nowMs) => warmUpObstacle(coldTargets, target, nowMs);
}
