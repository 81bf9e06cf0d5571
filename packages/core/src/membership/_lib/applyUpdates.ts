import type { Step } from '../../step/index.ts';
import type {
  MembershipEffect,
  MembershipState,
  MemberUpdate,
} from '../types.ts';
import { MAX_HEALTH_PENALTY } from './constants.ts';
import { suspicionMs } from './fleetSize.ts';
import { mergeMember } from './mergeMember.ts';

type Applied = Step<MembershipState, MembershipEffect>;

/** Options of {@link applyUpdates}. */
export interface ApplyUpdatesOptions {
  /** Whether what is new spreads further. */
  readonly spread?: boolean;
}

/**
 * Applies updates in order.
 *
 * @param state - State of the slice.
 * @param updates - What another member tells.
 * @param options - Whether what is new spreads further; it does by default.
 * @returns The state with the updates merged, and effects about itself.
 */
export function applyUpdates(
  state: MembershipState,
  updates: readonly MemberUpdate[],
  options: ApplyUpdatesOptions = {},
): Applied {
  const { spread = true } = options;
  return updates.reduce<Applied>(
    (done, update) => {
      if (update.entryId !== done.state.self?.entryId) {
        return {
          state: applyToMember(done.state, update, spread),
          effects: done.effects,
        };
      }
      const step = applyToSelf(done.state, update);
      return {
        state: step.state,
        effects: [...done.effects, ...step.effects],
      };
    },
    { state, effects: [] },
  );
}

function applyToMember(
  state: MembershipState,
  update: MemberUpdate,
  spread: boolean,
): MembershipState {
  const { entryId } = update;
  const known = state.members.get(entryId);
  const merged = mergeMember(known, update, state.nowMs);
  if (!merged || merged === known) return state;
  return {
    ...state,
    members: new Map(state.members).set(entryId, merged),
    suspicions: withSuspicion(state, entryId, merged.status === 'suspect'),
    spreading: spread
      ? new Map(state.spreading).set(entryId, 0)
      : state.spreading,
    changed: true,
  };
}

function withSuspicion(
  state: MembershipState,
  entryId: string,
  suspected: boolean,
): ReadonlyMap<string, number> {
  if (!suspected && !state.suspicions.has(entryId)) return state.suspicions;
  const suspicions = new Map(state.suspicions);
  if (!suspected) {
    suspicions.delete(entryId);
    return suspicions;
  }
  const endAtMs = state.nowMs + suspicionMs(state.order.length + 1);
  return suspicions.set(entryId, endAtMs);
}

/** Refutes what others hold of this entry, by a higher revision. */
function applyToSelf(state: MembershipState, update: MemberUpdate): Applied {
  const { self } = state;
  if (!self || update.incarnation < self.incarnation) {
    return { state, effects: [] };
  }
  if (update.incarnation > self.incarnation) {
    return seeSuccessor(state, update);
  }
  const refuted = update.status !== 'alive' || update.revision > state.revision;
  if (!refuted || update.revision < state.revision) {
    return { state, effects: [] };
  }
  return {
    state: {
      ...state,
      revision: update.revision + 1,
      spreading: new Map(state.spreading).set(self.entryId, 0),
      healthPenalty: Math.min(MAX_HEALTH_PENALTY, state.healthPenalty + 1),
    },
    effects: [],
  };
}

/** Tells of a later process under this id once, and only while it lives. */
function seeSuccessor(state: MembershipState, update: MemberUpdate): Applied {
  const { incarnation, status } = update;
  if (status === 'dead' || incarnation <= state.supersededBy) {
    return { state, effects: [] };
  }
  return {
    state: { ...state, supersededBy: incarnation },
    effects: [{ type: 'membership.superseded', incarnation }],
  };
}
