import type { LengthClass } from '@endivegate/contracts';
import { scoreRendezvous } from '../scoreRendezvous/index.ts';

/** Numbers of a model's engines reserved for short and for huge prompts. */
export interface LanePlan {
  readonly shortEngines: number;
  readonly longEngines: number;
}

/** Engine ids by lane; every engine is in exactly one lane. */
export interface Lanes {
  readonly short: readonly string[];
  readonly middle: readonly string[];
  readonly long: readonly string[];
}

/** Incoming work by length class; only the ratios matter. */
export type WorkByClass = Readonly<Record<LengthClass, number>>;

/** Options of {@link planLanes}. */
export interface PlanLanesOptions {
  /** Current plan; the new one differs by at most one engine per lane. */
  readonly previous?: LanePlan;
  /** Ratio of the engine share of short prompts to their work share. Default: 3. */
  readonly shortHeadroom?: number;
}

/** Shares of work assumed before any are measured. */
export const DEFAULT_WORK: WorkByClass = {
  short: 0.1,
  medium: 0.25,
  long: 0.25,
  huge: 0.4,
};

/** Difference, in engines, from which a lane is resized. */
const RESIZE_THRESHOLD = 0.75;

/** Largest share of the engines that is reserved for short prompts. */
const MAX_SHORT_ENGINE_SHARE = 0.4;

/**
 * Computes the lane sizes of a model from the measured shares of work.
 *
 * Short prompts get several times their share, so that they rarely wait for one
 * another. Huge prompts get their share of the remaining engines. A model with
 * fewer than four engines has no lanes.
 *
 * @param engineCount - Number of engines that serve the model.
 * @param work - Measured work by length class.
 * @param options - Current plan and headroom.
 * @returns The new plan.
 *
 * @example
 * planLanes(25, DEFAULT_WORK); // { shortEngines: 8, longEngines: 8 }
 */
export function planLanes(
  engineCount: number,
  work: WorkByClass,
  options: PlanLanesOptions = {},
): LanePlan {
  if (engineCount < MIN_LANE_ENGINES)
    return { shortEngines: 0, longEngines: 0 };
  const { previous, shortHeadroom = 3 } = options;
  const total = work.short + work.medium + work.long + work.huge || 1;
  const shortWanted = clamp(
    (engineCount * shortHeadroom * work.short) / total,
    1,
    engineCount * MAX_SHORT_ENGINE_SHARE,
  );
  const longerWork = work.medium + work.long + work.huge || 1;
  const remainingEngines = engineCount - shortWanted;
  const longWanted = clamp(
    (remainingEngines * work.huge) / longerWork,
    1,
    remainingEngines - 1,
  );
  return {
    shortEngines: resizeLane(shortWanted, previous?.shortEngines),
    longEngines: resizeLane(longWanted, previous?.longEngines),
  };
}

/** Minimum number of engines of a model with lanes. */
export const MIN_LANE_ENGINES = 4;

/**
 * Orders a model's engines for {@link divideLanes}, identically at all entries.
 *
 * @param model - The model; the order differs between models.
 * @param engineIds - Ids of its engines, in any order.
 * @returns The ids, ordered by rendezvous hashing.
 */
export function orderEngines(
  model: string,
  engineIds: readonly string[],
): readonly string[] {
  return engineIds
    .map((id) => ({ id, score: scoreRendezvous(model, id) }))
    .toSorted((a, b) => b.score - a.score)
    .map(({ id }) => id);
}

/**
 * Divides a model's engines into lanes.
 *
 * @param ordered - Engine ids as returned by {@link orderEngines}.
 * @param plan - Lane sizes.
 * @returns The engine ids of each lane.
 */
export function divideLanes(ordered: readonly string[], plan: LanePlan): Lanes {
  const longFrom = Math.max(
    plan.shortEngines,
    ordered.length - plan.longEngines,
  );
  return {
    short: ordered.slice(0, plan.shortEngines),
    middle: ordered.slice(plan.shortEngines, longFrom),
    long: ordered.slice(longFrom),
  };
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(Math.max(value, min), Math.max(max, min));
}

function resizeLane(wanted: number, previous: number | undefined): number {
  if (previous === undefined) return Math.round(wanted);
  const difference = wanted - previous;
  if (Math.abs(difference) < RESIZE_THRESHOLD) return previous;
  return previous + Math.sign(difference);
}
