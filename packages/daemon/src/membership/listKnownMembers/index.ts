import type { MemberUpdate as WireUpdate } from '@endivegate/contracts/peers';
import type { MembershipState } from '@endivegate/core';
import { toWireUpdate } from '../toWireUpdate/index.ts';

/**
 * Lists all members that an entry knows, itself first, as the initial member
 * list of a new entry.
 *
 * @param state - State of the membership slice.
 * @returns Member records with addresses; empty before the entry has started.
 */
export function listKnownMembers(state: MembershipState): WireUpdate[] {
  const { self } = state;
  if (!self) return [];
  const own = toWireUpdate({
    entryId: self.entryId,
    incarnation: self.incarnation,
    revision: state.revision,
    status: 'alive',
    leaving: state.leaving,
    address: self,
  });
  const others = [...state.members.values()].map((member) =>
    toWireUpdate({
      entryId: member.address.entryId,
      incarnation: member.address.incarnation,
      revision: member.revision,
      status: member.status,
      leaving: member.leaving,
      address: member.address,
    }),
  );
  return [own, ...others];
}
