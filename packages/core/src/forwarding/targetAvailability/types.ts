import type { EvacuationsState } from '../evacuations/index.ts';
import type { ColdTargetsState } from '../coldTargets/index.ts';
import type { TargetLimitsState } from '../targetLimits/index.ts';
import type { RosterTarget } from '../targetRoster/index.ts';

/** Why a target may get no request now, and until when. */
export interface Obstacle {
  readonly obstacle:
    | 'leaving'
    | 'paused'
    | 'unconfirmed'
    | 'limited'
    | 'evacuated'
    | 'warmingUp';
  /** Monotonic time; Infinity if no end is foreseeable. */
  readonly untilMs: number;
}

/** Checks whether one condition forbids a request to a target at a time. */
export type TargetCondition = (
  target: RosterTarget,
  nowMs: number,
) => Obstacle | undefined;

/** State that the conditions depend on. */
export interface ConditionsView {
  readonly targetLimits: TargetLimitsState;
  readonly evacuations: EvacuationsState;
  readonly coldTargets: ColdTargetsState;
}
