import { type LoadByTarget, NO_LOAD } from '../engineLoad/index.ts';
import type { RosterTarget } from '../targetRoster/index.ts';

/** Targets of a service without engines, and their current load. */
export interface ServiceView {
  readonly targets: readonly RosterTarget[];
  readonly loads: LoadByTarget;
  readonly nowMs: number;
  /** Data centre that this entry runs in. */
  readonly dataCentre: string;
}

/** Options of {@link pickTarget}. */
export interface PickTargetOptions {
  /** Returns a number uniform in [0, 1), to break ties. */
  readonly random?: () => number;
}

/** Cost of a target that failed recently: it is picked only when all others
 * failed recently too. */
const AVOIDED_TARGET_COST = 100;

/** Cost of a target in another data centre: it is picked when it has one request
 * less. */
const REMOTE_DATA_CENTRE_COST = 0.5;

const TIE_BREAK_COST = 0.3;

/**
 * Picks the target of a call: the one with the fewest requests, weighted by its
 * slowdown. Targets in this data centre are preferred.
 *
 * @param view - Targets and their load.
 * @param options - Random source.
 * @returns The target, or undefined when there is none.
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
      cost: costOf(target, view) + TIE_BREAK_COST * random(),
    }))
    .toSorted((a, b) => a.cost - b.cost)[0]?.target;
}

function costOf(target: RosterTarget, view: ServiceView): number {
  const load = view.loads.get(target.id) ?? NO_LOAD;
  const remoteCost =
    target.dataCentre === view.dataCentre ? 0 : REMOTE_DATA_CENTRE_COST;
  const avoidedCost =
    target.avoidUntilMs > view.nowMs ? AVOIDED_TARGET_COST : 0;
  return (load.requests + 1) * target.slowdown + remoteCost + avoidedCost;
}
