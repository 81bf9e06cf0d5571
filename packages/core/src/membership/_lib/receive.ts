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
import { MAX_CORRECTED_UPDATES, PROBE_PERIOD_MS } from './constants.ts';
import { memberUpdate, sendPacket } from './packets.ts';
import { finishProbe } from './probe.ts';

type ReceiveStep = Step<MembershipState, MembershipEffect>;
type ReceivedEvent = Extract<MembershipEvent, { type: 'membership.received' }>;

/** Handles a received packet: merges its updates and replies to it. */
export function receivePacket(
  state: MembershipState,
  { packet, from }: ReceivedEvent,
): ReceiveStep {
  if (!state.self || packet.sender.entryId === state.self.entryId) {
    return unchanged(state);
  }
  const corrections = findCorrections(state, packet.updates);
  return chainSteps<MembershipState, MembershipEffect>(state, [
    (s) => applyUpdates(s, [packet.sender, ...packet.updates]),
    (s) => reportTableNumber(s, packet),
    (s) => reply(s, packet, { from, corrections }),
  ]);
}

function reportTableNumber(
  state: MembershipState,
  { sender, tableNumber }: MembershipPacket,
): ReceiveStep {
  const member = state.members.get(sender.entryId);
  if (tableNumber === 0 || !member) return unchanged(state);
  return {
    state,
    effects: [
      {
        type: 'membership.tableNumberReceived',
        number: tableNumber,
        from: member.address,
      },
    ],
  };
}

/** Returns this entry's newer records for the updates that are out of date. */
function findCorrections(
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
    .slice(0, MAX_CORRECTED_UPDATES);
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

function reply(
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
        requiredUpdates: [
          ...refutableUpdates(state, packet.sender.entryId),
          ...corrections,
        ],
      });
    case 'pingRequest':
      return startProxyProbe(state, packet, from);
    case 'ack':
      return finishProxyProbe(finishProbe(state, packet.sequence), packet);
    case 'gossip':
      return unchanged(state);
  }
}

/** Returns a member's own record if it is suspect or dead, for it to refute. */
function refutableUpdates(
  state: MembershipState,
  entryId: string,
): readonly MemberUpdate[] {
  const member = state.members.get(entryId);
  if (!member || member.status === 'alive') return [];
  return [memberUpdate(member, false)];
}

function startProxyProbe(
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

/** Forwards an ack to the member that requested the indirect probe. */
function finishProxyProbe(
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
      requiredUpdates: [packet.sender],
    },
  );
}
