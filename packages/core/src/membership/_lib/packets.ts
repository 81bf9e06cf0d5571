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
  MAX_REPAIR_BYTES,
} from './constants.ts';
import { transmitLimit } from './fleetSize.ts';

/** Size of UDP and IP headers, authentication code and fixed packet fields. */
const PACKET_OVERHEAD_BYTES = 100;

/** Size of the fixed fields of an update and of an address. */
const UPDATE_BYTES = 16;
const ADDRESS_BYTES = 16;

function updateBytes({ entryId, address }: MemberUpdate): number {
  const fixedBytes = UPDATE_BYTES + entryId.length;
  if (!address) return fixedBytes;
  const { region, dataCentre, host } = address;
  return (
    fixedBytes + ADDRESS_BYTES + region.length + dataCentre.length + host.length
  );
}

/** Returns this entry's record as an update. */
export function selfUpdate(
  state: MembershipState,
  withAddress: boolean,
): MemberUpdate {
  const { self } = state;
  return {
    entryId: self?.entryId ?? '',
    incarnation: self?.incarnation ?? 0,
    revision: state.revision,
    status: state.exited ? 'dead' : 'alive',
    leaving: state.leaving,
    address: withAddress ? self : undefined,
  };
}

/** Returns a member's record as an update. */
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

/**
 * Returns the update to gossip about an entry. The address is included at
 * revision 0 only, when receivers may not know it yet.
 */
function gossipUpdate(
  state: MembershipState,
  entryId: string,
): readonly MemberUpdate[] {
  if (entryId === state.self?.entryId) {
    return [selfUpdate(state, state.revision === 0)];
  }
  const member = state.members.get(entryId);
  return member ? [memberUpdate(member, member.revision === 0)] : [];
}

/** Keeps, in order, each update that still fits into the byte limit. */
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

/** Returns the updates still being gossiped, least often sent first. */
function pickGossip(
  state: MembershipState,
  maxBytes: number,
): readonly MemberUpdate[] {
  if (state.transmitCounts.size === 0) return [];
  const ids = [...state.transmitCounts]
    .sort((a, b) => a[1] - b[1])
    .map(([entryId]) => entryId);
  return takeFitting(
    ids.flatMap((entryId) => gossipUpdate(state, entryId)),
    maxBytes,
  );
}

/**
 * Returns the next known records in round-robin order, so that members that
 * missed an update catch up (anti-entropy).
 */
function pickRepairs(state: MembershipState): readonly MemberUpdate[] {
  const { probeOrder, repairCursor, members } = state;
  if (probeOrder.length === 0) return [];
  const start = repairCursor % probeOrder.length;
  const records = probeOrder.slice(start, start + 3).flatMap((entryId) => {
    const member = members.get(entryId);
    return member ? [memberUpdate(member, true)] : [];
  });
  return takeFitting(records, MAX_REPAIR_BYTES);
}

function countTransmits(
  transmitCounts: ReadonlyMap<string, number>,
  sent: readonly MemberUpdate[],
  limit: number,
): ReadonlyMap<string, number> {
  const counted = sent.filter(({ entryId }) => transmitCounts.has(entryId));
  if (counted.length === 0) return transmitCounts;
  const next = new Map(transmitCounts);
  counted.forEach(({ entryId }) => {
    const count = (next.get(entryId) ?? 0) + 1;
    if (count >= limit) next.delete(entryId);
    else next.set(entryId, count);
  });
  return next;
}

/** Contents of a packet to send, without its gossiped updates. */
export interface PacketDraft {
  readonly kind: MembershipPacket['kind'];
  readonly to: PacketAddress;
  readonly sequence: number;
  readonly subjectId?: string;
  /** Updates that are always included, such as the receiver's own record. */
  readonly requiredUpdates?: readonly MemberUpdate[];
}

/**
 * Sends a packet, adds pending gossip to it and charges its bytes to the gossip
 * budget.
 *
 * @param state - State of the slice.
 * @param draft - Receiver and contents of the packet.
 * @returns The state after sending, and the send effect.
 */
export function sendPacket(
  state: MembershipState,
  draft: PacketDraft,
): Step<MembershipState, MembershipEffect> {
  const { kind, to, sequence, subjectId, requiredUpdates = [] } = draft;
  const isGossip = kind === 'gossip';
  const gossip = pickGossip(
    state,
    isGossip ? MAX_GOSSIP_BYTES : MAX_PIGGYBACK_BYTES,
  );
  const repairs = isGossip || gossip.length > 0 ? [] : pickRepairs(state);
  const updates = [...requiredUpdates, ...gossip, ...repairs];
  const sender = selfUpdate(state, kind === 'ping');
  const bytes =
    PACKET_OVERHEAD_BYTES +
    updates.reduce((sum, update) => sum + updateBytes(update), 0);
  const { tableNumber } = state;
  return {
    state: {
      ...state,
      transmitCounts: countTransmits(
        state.transmitCounts,
        gossip,
        transmitLimit(state.probeOrder.length + 1),
      ),
      repairCursor: state.repairCursor + repairs.length,
      tableTransmitCount: state.tableTransmitCount + 1,
      gossipBudgetBytes: state.gossipBudgetBytes - bytes,
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
