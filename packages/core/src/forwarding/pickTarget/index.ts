import { type LoadByTarget, NO_LOAD } from '../engineLoad/index.ts';
import type { RosterTarget } from '../targetRoster/index.ts';

/** Targets of a plain service and what they have to do. */
export interface ServiceView {
  readonly targets: readonly RosterTarget[];
  readonly loads: LoadByTarget;
  readonly nowMs: number;
  /** Data centre of this entry. */
  readonly dataCentre: string;
}

/** Options of {@link pickTarget}. */
export interface PickTargetOptions {
  /** Uniform in [0, 1), for ties. */
  readonly random?: () => number;
}

/** Failed moments ago: taken only when every other target did too. */
const AVOIDED_COST = 100;

/** Another data centre's target is taken when it has one request less. */
const DISTANCE_COST = 0.5;

const TIE_COST = 0.3;

/**
 * Picks the target of a plain call: the one with the fewest requests for its
 * slots and pace, this data centre's first.
 *
 * @param view - Targets and their load.
 * @param options - Randomness.
 * @returns The target, or undefined without any.
 *
 * @example
 * pickTarget({ targets, loads, nowMs, dataCentre: 'a' });
 */
export function pickTarget(
  view: ServiceView,
  options: PickTargetOptions = {},
): RosterTarget | undefined {
  const { random = Math.random } = options;
  return view.targets
    .map((target) => ({
      target,
      cost: costOf(target, view) + TIE_COST * random(),
    }))
    .toSorted((a, b) => a.cost - b.cost)[0]?.target;
}

function costOf(target: RosterTarget, view: ServiceView): number {
  const load = view.loads.get(target.id) ?? NO_LOAD;
  const distance = target.dataCentre === view.dataCentre ? 0 : DISTANCE_COST;
  const avoided = target.avoidUntilMs > view.nowMs ? AVOIDED_COST : 0;
  return (load.requests + 1) * target.pace + distance + avoided;
}
