import type { EntryAddress } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import { unchanged, type Step } from '../../step/index.ts';
import type { Member, MembershipState } from '../types.ts';
import { createRandomInt } from './random.ts';

/** Raises `members.changed` at most once per tick, and updates the probe order. */
export function publishMembers(
  state: MembershipState,
  event: EventBase,
): Step<MembershipState, RaiseEffect> {
  if (!state.changed || !state.self) return unchanged(state);
  const members = [...state.members.values()];
  const refreshed = updateProbeOrder(state, members, event.random);
  const raised: RaiseEffect = {
    type: 'raise',
    event: {
      type: 'members.changed',
      atMs: event.atMs,
      random: event.random,
      live: [
        ...(state.leaving ? [] : [state.self]),
        ...addressesWhere(members, (m) => m.status === 'alive' && !m.leaving),
      ],
      leaving: [
        ...(state.leaving ? [state.self] : []),
        ...addressesWhere(members, (m) => m.status !== 'dead' && m.leaving),
      ],
      suspected: addressesWhere(
        members,
        (m) => m.status === 'suspect' && !m.leaving,
      ),
      dead: addressesWhere(members, (m) => m.status === 'dead'),
    },
  };
  return { state: { ...refreshed, changed: false }, effects: [raised] };
}

function addressesWhere(
  members: readonly Member[],
  keep: (member: Member) => boolean,
): readonly EntryAddress[] {
  return members.filter(keep).map((member) => member.address);
}

/**
 * Updates the probe order: dead members are removed, and new members are
 * inserted at random positions.
 */
function updateProbeOrder(
  state: MembershipState,
  members: readonly Member[],
  random: number,
): MembershipState {
  const randomInt = createRandomInt(random);
  const notDead = new Set(
    members
      .filter((member) => member.status !== 'dead')
      .map((member) => member.address.entryId),
  );
  const kept = state.probeOrder.filter((entryId) => notDead.has(entryId));
  const known = new Set(kept);
  const probeOrder = [...notDead]
    .filter((entryId) => !known.has(entryId))
    .reduce<readonly string[]>(
      (ids, entryId) => ids.toSpliced(randomInt(ids.length + 1), 0, entryId),
      kept,
    );
  return {
    ...state,
    probeOrder,
    probeCursor: state.probeOrder
      .slice(0, state.probeCursor)
      .filter((entryId) => notDead.has(entryId)).length,
    deadIds: members
      .filter((member) => member.status === 'dead')
      .map((member) => member.address.entryId),
  };
}
