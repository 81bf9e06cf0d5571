import type { LengthClass } from '@endivegate/contracts';
import { scoreRendezvous } from '../scoreRendezvous/index.ts';

/** How many of a model's engines are set aside for each end of the lengths. */
export interface LanePlan {
  readonly shortEngines: number;
  readonly longEngines: number;
}

/** Engines by lane; every engine is in one. */
export interface Lanes {
  readonly short: readonly string[];
  readonly middle: readonly string[];
  readonly long: readonly string[];
}

/** Work arriving by length class, in any unit. */
export type WorkByClass = Readonly<Record<LengthClass, number>>;

/** Options of {@link planLanes}. */
export interface PlanLanesOptions {
  /** Plan in force; the new one differs by at most one engine a lane. */
  readonly previous?: LanePlan;
  /** Engines for short prompts ÷ their share of work; 3 unless given. */
  readonly shortHeadroom?: number;
}

/** Shares of work assumed before any were measured. */
export const DEFAULT_WORK: WorkByClass = {
  short: 0.1,
  medium: 0.25,
  long: 0.25,
  huge: 0.4,
};

/** A lane changes only when its share is off by this many engines. */
const RESIZE_THRESHOLD = 0.75;

/** Largest part of the engines that short prompts are given. */
const MAX_SHORT_PART = 0.4;

/**
 * Sizes the lanes of a model from the measured shares of work.
 *
 * Short prompts get several times their share, so that one of them rarely
 * meets another. Huge prompts get their share of the rest. With fewer than
 * four engines there are no lanes.
 *
 * @param engineCount - Engines that serve the model.
 * @param work - Measured work by length class.
 * @param options - The plan in force, and headroom.
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
    engineCount * MAX_SHORT_PART,
  );
  const heavy = work.medium + work.long + work.huge || 1;
  const rest = engineCount - shortWanted;
  const longWanted = clamp((rest * work.huge) / heavy, 1, rest - 1);
  return {
    shortEngines: resize(shortWanted, previous?.shortEngines),
    longEngines: resize(longWanted, previous?.longEngines),
  };
}

/** Fewest engines of a model that are divided into lanes. */
export const MIN_LANE_ENGINES = 4;

/**
 * Orders a model's engines as lanes use them; every entry gets the same order.
 *
 * @param model - The model; engines are ordered differently for each.
 * @param engineIds - Its engines, in any order.
 * @returns The engines in their order.
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
 * @param ordered - Its engines, as `orderEngines` orders them.
 * @param plan - Sizes of the lanes.
 * @returns The engines of each lane.
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

function clamp(value: number, least: number, most: number): number {
  return Math.min(Math.max(value, least), Math.max(most, least));
}

function resize(wanted: number, previous: number | undefined): number {
  if (previous === undefined) return Math.round(wanted);
  const difference = wanted - previous;
  if (Math.abs(difference) < RESIZE_THRESHOLD) return previous;
  return previous + Math.sign(difference);
}
