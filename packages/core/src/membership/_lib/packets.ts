import type {
  Member,
  MembershipEffect,
  MembershipPacket,
  MembershipState,
  MemberUpdate,
  PacketAddress,
} from '../types.ts';
import type { Step } from '../../step/index.ts';
import {
  MAX_GOSSIP_BYTES,
  MAX_PIGGYBACK_BYTES,
  REPAIR_BYTES,
} from './constants.ts';
import { copiesFor } from './fleetSize.ts';

/** UDP and IP headers, authentication code and fixed fields of a packet. */
const PACKET_OVERHEAD_BYTES = 100;

/** Fixed fields of an update and of an address. */
const UPDATE_BYTES = 16;
const ADDRESS_BYTES = 16;

function updateBytes({ entryId, address }: MemberUpdate): number {
  const own = UPDATE_BYTES + entryId.length;
  if (!address) return own;
  const { region, dataCentre, host } = address;
  return own + ADDRESS_BYTES + region.length + dataCentre.length + host.length;
}

/** Returns this entry's record. */
export function selfUpdate(
  state: MembershipState,
  withAddress: boolean,
): MemberUpdate {
  const { self } = state;
  return {
    entryId: self?.entryId ?? '',
    incarnation: self?.incarnation ?? 0,
    revision: state.revision,
    status: state.gone ? 'dead' : 'alive',
    leaving: state.leaving,
    address: withAddress ? self : undefined,
  };
}

/** Returns a member's record. */
export function memberUpdate(
  member: Member,
  withAddress: boolean,
): MemberUpdate {
  return {
    entryId: member.address.entryId,
    incarnation: member.address.incarnation,
    revision: member.revision,
    status: member.status,
    leaving: member.leaving,
    address: withAddress ? member.address : undefined,
  };
}

/** Returns the record of an entry, with its address when that is news. */
function spreadUpdate(
  state: MembershipState,
  entryId: string,
): readonly MemberUpdate[] {
  if (entryId === state.self?.entryId) {
    return [selfUpdate(state, state.revision === 0)];
  }
  const member = state.members.get(entryId);
  return member ? [memberUpdate(member, member.revision === 0)] : [];
}

/** Takes updates from the front while they fit. */
function takeFitting(
  updates: readonly MemberUpdate[],
  maxBytes: number,
): readonly MemberUpdate[] {
  let bytes = 0;
  return updates.filter((update) => {
    const size = updateBytes(update);
    if (bytes + size > maxBytes) return false;
    bytes += size;
    return true;
  });
}

/** Returns the updates that still spread, least sent first. */
function pickSpreading(
  state: MembershipState,
  maxBytes: number,
): readonly MemberUpdate[] {
  if (state.spreading.size === 0) return [];
  const ids = [...state.spreading]
    .sort((a, b) => a[1] - b[1])
    .map(([entryId]) => entryId);
  return takeFitting(
    ids.flatMap((entryId) => spreadUpdate(state, entryId)),
    maxBytes,
  );
}

/** Returns the next records in turn, so that lost updates are repaired. */
function pickRepairs(state: MembershipState): readonly MemberUpdate[] {
  const { order, repairCursor, members } = state;
  if (order.length === 0) return [];
  const start = repairCursor % order.length;
  const records = order.slice(start, start + 3).flatMap((entryId) => {
    const member = members.get(entryId);
    return member ? [memberUpdate(member, true)] : [];
  });
  return takeFitting(records, REPAIR_BYTES);
}

function countCopies(
  spreading: ReadonlyMap<string, number>,
  sent: readonly MemberUpdate[],
  maxCopies: number,
): ReadonlyMap<string, number> {
  const counted = sent.filter(({ entryId }) => spreading.has(entryId));
  if (counted.length === 0) return spreading;
  const next = new Map(spreading);
  counted.forEach(({ entryId }) => {
    const copies = (next.get(entryId) ?? 0) + 1;
    if (copies >= maxCopies) next.delete(entryId);
    else next.set(entryId, copies);
  });
  return next;
}

/** What a packet is to say, besides what spreads on it. */
export interface PacketDraft {
  readonly kind: MembershipPacket['kind'];
  readonly to: PacketAddress;
  readonly sequence: number;
  readonly subjectId?: string;
  /** Records to send in any case, such as the receiver's own. */
  readonly about?: readonly MemberUpdate[];
}

/**
 * Sends a packet filled up with updates, and accounts for its bytes.
 *
 * @param state - State of the slice.
 * @param draft - Receiver and purpose of the packet.
 * @returns The state after sending, and the send effect.
 */
export function sendPacket(
  state: MembershipState,
  draft: PacketDraft,
): Step<MembershipState, MembershipEffect> {
  const { kind, to, sequence, subjectId, about = [] } = draft;
  const isGossip = kind === 'gossip';
  const spread = pickSpreading(
    state,
    isGossip ? MAX_GOSSIP_BYTES : MAX_PIGGYBACK_BYTES,
  );
  const repairs = isGossip || spread.length > 0 ? [] : pickRepairs(state);
  const updates = [...about, ...spread, ...repairs];
  const sender = selfUpdate(state, kind === 'ping');
  const bytes =
    PACKET_OVERHEAD_BYTES +
    updates.reduce((sum, update) => sum + updateBytes(update), 0);
  const { tableNumber } = state;
  return {
    state: {
      ...state,
      spreading: countCopies(
        state.spreading,
        spread,
        copiesFor(state.order.length + 1),
      ),
      repairCursor: state.repairCursor + repairs.length,
      tableCopies: state.tableCopies + 1,
      budgetBytes: state.budgetBytes - bytes,
    },
    effects: [
      {
        type: 'membership.send',
        to,
        packet: { kind, sequence, sender, subjectId, tableNumber, updates },
      },
    ],
  };
}
