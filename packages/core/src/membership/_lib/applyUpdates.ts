import type { Step } from '../../step/index.ts';
import type {
  MembershipEffect,
  MembershipState,
  MemberUpdate,
} from '../types.ts';
import { MAX_HEALTH_PENALTY } from './constants.ts';
import { suspicionTimeoutMs } from './fleetSize.ts';
import { mergeMember } from './mergeMember.ts';

type UpdateStep = Step<MembershipState, MembershipEffect>;

/** Options of {@link applyUpdates}. */
export interface ApplyUpdatesOptions {
  /** Whether changed records are gossiped to other members; true by default. */
  readonly gossip?: boolean;
}

/**
 * Merges updates into the known members, in order.
 *
 * @param state - State of the slice.
 * @param updates - Updates received from another member.
 * @param options - Whether changed records are gossiped.
 * @returns The state with the updates merged, and effects of updates about this
 *   entry itself.
 */
export function applyUpdates(
  state: MembershipState,
  updates: readonly MemberUpdate[],
  options: ApplyUpdatesOptions = {},
): UpdateStep {
  const { gossip = true } = options;
  return updates.reduce<UpdateStep>(
    (done, update) => {
      if (update.entryId !== done.state.self?.entryId) {
        return {
          state: applyToMember(done.state, update, gossip),
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
  gossip: boolean,
): MembershipState {
  const { entryId } = update;
  const known = state.members.get(entryId);
  const merged = mergeMember(known, update, state.nowMs);
  if (!merged || merged === known) return state;
  return {
    ...state,
    members: new Map(state.members).set(entryId, merged),
    suspicionDeadlines: withSuspicionDeadline(
      state,
      entryId,
      merged.status === 'suspect',
    ),
    transmitCounts: gossip
      ? new Map(state.transmitCounts).set(entryId, 0)
      : state.transmitCounts,
    changed: true,
  };
}

function withSuspicionDeadline(
  state: MembershipState,
  entryId: string,
  suspected: boolean,
): ReadonlyMap<string, number> {
  if (!suspected && !state.suspicionDeadlines.has(entryId))
    return state.suspicionDeadlines;
  const deadlines = new Map(state.suspicionDeadlines);
  if (!suspected) {
    deadlines.delete(entryId);
    return deadlines;
  }
  const endAtMs = state.nowMs + suspicionTimeoutMs(state.probeOrder.length + 1);
  return deadlines.set(entryId, endAtMs);
}

/** Refutes wrong records of this entry by raising its revision above theirs. */
function applyToSelf(state: MembershipState, update: MemberUpdate): UpdateStep {
  const { self } = state;
  if (!self || update.incarnation < self.incarnation) {
    return { state, effects: [] };
  }
  if (update.incarnation > self.incarnation) {
    return detectSuccessor(state, update);
  }
  const isContradicted =
    update.status !== 'alive' || update.revision > state.revision;
  if (!isContradicted || update.revision < state.revision) {
    return { state, effects: [] };
  }
  return {
    state: {
      ...state,
      revision: update.revision + 1,
      transmitCounts: new Map(state.transmitCounts).set(self.entryId, 0),
      healthPenalty: Math.min(MAX_HEALTH_PENALTY, state.healthPenalty + 1),
    },
    effects: [],
  };
}

/**
 * Reports a later process with this entry's id, once per incarnation and only
 * if it is not dead.
 */
function detectSuccessor(
  state: MembershipState,
  update: MemberUpdate,
): UpdateStep {
  const { incarnation, status } = update;
  if (status === 'dead' || incarnation <= state.supersededBy) {
    return { state, effects: [] };
  }
  return {
    state: { ...state, supersededBy: incarnation },
    effects: [{ type: 'membership.superseded', incarnation }],
  };
}
