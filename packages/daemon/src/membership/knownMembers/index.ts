import type { MemberUpdate as WireUpdate } from '@endivegate/contracts/peers';
import type { MembershipState } from '@endivegate/core';
import { toPeerUpdate } from '../toPeerUpdate/index.ts';

/**
 * Lists every member an entry knows, itself first, for a new entry to start
 * from.
 *
 * @param state - State of the membership slice.
 * @returns Records with their addresses.
 */
export function knownMembers(state: MembershipState): WireUpdate[] {
  const { self } = state;
  if (!self) return [];
  const own = toPeerUpdate({
    entryId: self.entryId,
    incarnation: self.incarnation,
    revision: state.revision,
    status: 'alive',
    leaving: state.leaving,
    address: self,
  });
  const others = [...state.members.values()].map((member) =>
    toPeerUpdate({
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
