import { chainSteps } from '../../chainSteps/index.ts';
import { unchanged, type Step } from '../../step/index.ts';
import type {
  Member,
  MembershipEffect,
  MembershipEvent,
  MembershipPacket,
  MembershipState,
  MemberUpdate,
  PacketAddress,
} from '../types.ts';
import { applyUpdates } from './applyUpdates.ts';
import { MAX_CHECKED_RECORDS, PROBE_PERIOD_MS } from './constants.ts';
import { memberUpdate, sendPacket } from './packets.ts';
import { finishProbe } from './probe.ts';

type ReceiveStep = Step<MembershipState, MembershipEffect>;
type ReceivedEvent = Extract<MembershipEvent, { type: 'membership.received' }>;

/** Handles one packet. */
export function receivePacket(
  state: MembershipState,
  { packet, from }: ReceivedEvent,
): ReceiveStep {
  if (!state.self || packet.sender.entryId === state.self.entryId) {
    return unchanged(state);
  }
  const corrections = findStale(state, packet.updates);
  return chainSteps<MembershipState, MembershipEffect>(state, [
    (s) => applyUpdates(s, [packet.sender, ...packet.updates]),
    (s) => seeTable(s, packet),
    (s) => answer(s, packet, { from, corrections }),
  ]);
}

function seeTable(
  state: MembershipState,
  { sender, tableNumber }: MembershipPacket,
): ReceiveStep {
  const member = state.members.get(sender.entryId);
  if (tableNumber === 0 || !member) return unchanged(state);
  return {
    state,
    effects: [
      {
        type: 'membership.tableSeen',
        number: tableNumber,
        from: member.address,
      },
    ],
  };
}

/** Returns better records in place of those that are out of date. */
function findStale(
  state: MembershipState,
  updates: readonly MemberUpdate[],
): readonly MemberUpdate[] {
  return updates
    .flatMap((update) => {
      const known = state.members.get(update.entryId);
      return known && isOlder(update, known)
        ? [memberUpdate(known, false)]
        : [];
    })
    .slice(0, MAX_CHECKED_RECORDS);
}

function isOlder(update: MemberUpdate, known: Member): boolean {
  const { incarnation } = known.address;
  if (update.incarnation !== incarnation) {
    return update.incarnation < incarnation;
  }
  return (
    update.revision < known.revision ||
    (update.revision === known.revision &&
      update.status !== 'dead' &&
      known.status === 'dead')
  );
}

function answer(
  state: MembershipState,
  packet: MembershipPacket,
  options: {
    readonly from: PacketAddress;
    readonly corrections: readonly MemberUpdate[];
  },
): ReceiveStep {
  const { from, corrections } = options;
  switch (packet.kind) {
    case 'ping':
      return sendPacket(state, {
        kind: 'ack',
        to: from,
        sequence: packet.sequence,
        about: [...heldAgainst(state, packet.sender.entryId), ...corrections],
      });
    case 'pingRequest':
      return probeFor(state, packet, from);
    case 'ack':
      return finishProxy(finishProbe(state, packet.sequence), packet);
    case 'gossip':
      return unchanged(state);
  }
}

/** What the fleet holds against a member, so that it can refute it. */
function heldAgainst(
  state: MembershipState,
  entryId: string,
): readonly MemberUpdate[] {
  const member = state.members.get(entryId);
  if (!member || member.status === 'alive') return [];
  return [memberUpdate(member, false)];
}

function probeFor(
  state: MembershipState,
  packet: MembershipPacket,
  requester: PacketAddress,
): ReceiveStep {
  const subject = state.members.get(packet.subjectId ?? '');
  if (!subject) return unchanged(state);
  const sequence = state.sequence + 1;
  const proxy = {
    sequence,
    requestSequence: packet.sequence,
    requester,
    expiresAtMs: state.nowMs + PROBE_PERIOD_MS,
  };
  return sendPacket(
    { ...state, sequence, proxyProbes: [...state.proxyProbes, proxy] },
    { kind: 'ping', to: subject.address, sequence },
  );
}

/** Passes an ack on to the member that asked for the probe. */
function finishProxy(
  state: MembershipState,
  packet: MembershipPacket,
): ReceiveStep {
  const proxy = state.proxyProbes.find(
    ({ sequence }) => sequence === packet.sequence,
  );
  if (!proxy) return unchanged(state);
  return sendPacket(
    {
      ...state,
      proxyProbes: state.proxyProbes.filter((other) => other !== proxy),
    },
    {
      kind: 'ack',
      to: proxy.requester,
      sequence: proxy.requestSequence,
      about: [packet.sender],
    },
  );
}
