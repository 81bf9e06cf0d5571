import type {
  RosterEffect,
  RosterState,
  RosterStep,
  RosterTarget,
  TargetProcess,
} from '../types.ts';

/** Replaces a target. */
export function withTarget(
  state: RosterState,
  target: RosterTarget,
): RosterState {
  return { ...state, targets: new Map(state.targets).set(target.id, target) };
}

/** Identifies a process: after a restart, the same id is another process. */
export function processKey(target: TargetProcess): string {
  return `${target.id}@${target.bornMs}`;
}

/** Builds the log effect of a change. */
export function rosterChanged(
  id: string,
  change: Extract<RosterEffect, { type: 'roster.changed' }>['change'],
  reason: string,
): Extract<RosterEffect, { type: 'roster.changed' }> {
  return { type: 'roster.changed', id, change, reason };
}

/** Applies the next step and collects the effects of both. */
export function chain(
  step: RosterStep,
  next: (state: RosterState) => RosterStep,
): RosterStep {
  const { state, effects } = next(step.state);
  return { state, effects: [...step.effects, ...effects] };
}
