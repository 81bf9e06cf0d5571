import type { Target, TargetsUpdate } from '@endivegate/contracts';

type TargetsById = ReadonlyMap<string, Target>;

/**
 * Computes the difference between the known targets and a complete list.
 *
 * @param known - Known targets by id.
 * @param targets - The complete list as just read.
 * @returns The changed and removed targets; both empty if there is no difference.
 */
export function diffTargets(
  known: TargetsById,
  targets: readonly Target[],
): TargetsUpdate {
  const ids = new Set(targets.map(({ targetId }) => targetId));
  return {
    changed: targets.filter(
      (target) => !isSameTarget(known.get(target.targetId), target),
    ),
    removedIds: [...known.keys()].filter((targetId) => !ids.has(targetId)),
  };
}

/**
 * Applies an update to the known targets.
 *
 * @param known - Known targets by id; not modified.
 * @param update - Changed and removed targets.
 * @returns The targets after the update; `known` itself if nothing changes.
 */
export function applyTargetsUpdate(
  known: TargetsById,
  update: TargetsUpdate,
): TargetsById {
  const changed = update.changed.filter(
    (target) => !isSameTarget(known.get(target.targetId), target),
  );
  const removed = update.removedIds.filter((targetId) => known.has(targetId));
  if (changed.length === 0 && removed.length === 0) return known;
  const removedIds = new Set(removed);
  return new Map([
    ...[...known].filter(([targetId]) => !removedIds.has(targetId)),
    ...changed.map((target) => [target.targetId, target] as const),
  ]);
}

function isSameTarget(known: Target | undefined, target: Target): boolean {
  return known === target || JSON.stringify(known) === JSON.stringify(target);
}
