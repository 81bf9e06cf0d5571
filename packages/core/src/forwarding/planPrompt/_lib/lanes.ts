import type { EngineView } from './types.ts';

/** Short prompts of one engine, as a share of its slots, that keep its passes
 * well within their pauses. */
const LANE_SLOT_USE = 0.5;

/** Engines of the short lane beyond those that are in use. */
const LANE_SPARE = 1;

/**
 * Ids of the engines that are kept for short prompts: as many as those in flight
 * need, in an order that all entries share.
 */
export function shortLane(view: EngineView): ReadonlySet<string> {
  const shorts = [...view.loads.values()].reduce(
    (sum, load) => sum + load.shorts,
    0,
  );
  const perEngine = Math.max(view.cost.slots * LANE_SLOT_USE, 1);
  const size = Math.ceil(shorts / perEngine) + LANE_SPARE;
  const ids = view.targets
    .filter((target) => target.avoidUntilMs <= view.nowMs)
    .toSorted((a, b) => a.laneRank - b.laneRank)
    .slice(0, size)
    .map((target) => target.id);
  return new Set(ids);
}
