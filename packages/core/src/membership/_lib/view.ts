import type { EntryAddress } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import { unchanged, type Step } from '../../step/index.ts';
import type { Member, MembershipState } from '../types.ts';
import { createDraw } from './random.ts';

/** Raises `members.changed` at most once a tick, and refreshes the orders. */
export function stepView(
  state: MembershipState,
  event: EventBase,
): Step<MembershipState, RaiseEffect> {
  if (!state.changed || !state.self) return unchanged(state);
  const members = [...state.members.values()];
  const refreshed = refreshOrder(state, members, event.random);
  const raised: RaiseEffect = {
    type: 'raise',
    event: {
      type: 'members.changed',
      atMs: event.atMs,
      random: event.random,
      live: [
        ...(state.leaving ? [] : [state.self]),
        ...addresses(members, (m) => m.status === 'alive' && !m.leaving),
      ],
      leaving: [
        ...(state.leaving ? [state.self] : []),
        ...addresses(members, (m) => m.status !== 'dead' && m.leaving),
      ],
      suspected: addresses(
        members,
        (m) => m.status === 'suspect' && !m.leaving,
      ),
      dead: addresses(members, (m) => m.status === 'dead'),
    },
  };
  return { state: { ...refreshed, changed: false }, effects: [raised] };
}

function addresses(
  members: readonly Member[],
  keep: (member: Member) => boolean,
): readonly EntryAddress[] {
  return members.filter(keep).map((member) => member.address);
}

/** Keeps the probe order, without the dead and with newcomers put anywhere. */
function refreshOrder(
  state: MembershipState,
  members: readonly Member[],
  random: number,
): MembershipState {
  const draw = createDraw(random);
  const alive = new Set(
    members
      .filter((member) => member.status !== 'dead')
      .map((member) => member.address.entryId),
  );
  const kept = state.order.filter((entryId) => alive.has(entryId));
  const known = new Set(kept);
  const order = [...alive]
    .filter((entryId) => !known.has(entryId))
    .reduce<readonly string[]>(
      (ids, entryId) => ids.toSpliced(draw(ids.length + 1), 0, entryId),
      kept,
    );
  return {
    ...state,
    order,
    cursor: state.order
      .slice(0, state.cursor)
      .filter((entryId) => alive.has(entryId)).length,
    deadIds: members
      .filter((member) => member.status === 'dead')
      .map((member) => member.address.entryId),
  };
}
