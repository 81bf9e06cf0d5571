import type { Target } from '@endivegate/contracts';
import type { EventBase } from '../events/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';

/** Targets by id, as the instance list last named them. */
export interface TargetsState {
  readonly byId: ReadonlyMap<string, Target>;
}

/** The platform's instance list was read. */
export type TargetsEvent = EventBase & {
  readonly type: 'targets.listed';
  readonly targets: readonly Target[];
};

/** Keeps the list of targets and raises `targets.changed` when it differs. */
export const targetsSlice: Slice<TargetsState, TargetsEvent, never> = {
  initial: { byId: new Map() },
  reduce: (state, event) => {
    if (event.type !== 'targets.listed') return unchanged(state);
    if (isSameList(state, event.targets)) return unchanged(state);
    return {
      state: { byId: new Map(event.targets.map((t) => [t.targetId, t])) },
      effects: [
        { type: 'raise', event: { ...event, type: 'targets.changed' } },
      ],
    };
  },
};

function isSameList(state: TargetsState, targets: readonly Target[]): boolean {
  return (
    state.byId.size === targets.length &&
    targets.every((target) =>
      isSameTarget(state.byId.get(target.targetId), target),
    )
  );
}

function isSameTarget(known: Target | undefined, target: Target): boolean {
  return JSON.stringify(known) === JSON.stringify(target);
}
