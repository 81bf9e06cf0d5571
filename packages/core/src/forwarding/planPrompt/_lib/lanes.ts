import type { EngineView } from './types.ts';

/** Fraction of an engine's slots that short prompts may fill without its passes
 * coming close to their gap target. */
const LANE_SLOT_UTILISATION = 0.85;

/** Engines in the short lane beyond those that are needed. */
const SPARE_LANE_ENGINES = 1;

/**
 * Returns the ids of the engines reserved for short prompts: as many as the short
 * prompts in flight need, in an order that is the same at all entries.
 */
export function selectShortLane(view: EngineView): ReadonlySet<string> {
  const shortRequests = [...view.loads.values()].reduce(
    (sum, load) => sum + load.shortRequests,
    0,
  );
  const perEngine = Math.max(view.cost.slots * LANE_SLOT_UTILISATION, 1);
  const size = Math.ceil(shortRequests / perEngine) + SPARE_LANE_ENGINES;
  const ids = view.targets
    .filter((target) => target.avoidUntilMs <= view.nowMs)
    .toSorted((a, b) => a.laneRank - b.laneRank)
    .slice(0, size)
    .map((target) => target.id);
  return new Set(ids);
}
