import type { EntryAddress } from '@endivegate/contracts';
import {
  membershipSlice,
  type MembershipEvent,
  type MembershipPacket,
  type MembershipState,
  type SharedEvent,
} from '@endivegate/core';
import { decodePacket, encodePacket } from '@endivegate/daemon';
import type { Figures } from '../figures.ts';
import { usedHeapBytes } from './heap.ts';

const UDP_IP_HEADER_BYTES = 28;
const KEY = 'bench';
const TICK_MS = 100;
const SECONDS = 60;
const timestamp = { wallMs: 1_760_000_000_000, counter: 0 };

function address(index: number): EntryAddress {
  return {
    entryId: `entry-${String(index).padStart(3, '0')}`,
    incarnation: 1_760_000_000_000 + index,
    region: index % 2 === 0 ? 'region-a' : 'region-b',
    dataCentre: `centre-${index % 7}`,
    host: '10.0.0.1',
    httpPort: 8080,
    peerPort: index,
  };
}

/**
 * Measures one member of a stable fleet that probes others and is probed once per
 * second. The other members are simulated by acks and pings of the same format.
 */
export function measureMembership(size: number): Figures {
  const before = usedHeapBytes();
  const all = Array.from({ length: size }, (_, index) => address(index));
  let nowMs = 0;
  let bytes = 0;
  let packets = 0;
  let state: MembershipState = membershipSlice.initial;
  const outbox: MembershipPacket[] = [];

  function dispatch(event: object): void {
    const stamped = { ...event, atMs: nowMs, random: Math.random() } as
      MembershipEvent | SharedEvent;
    const step = membershipSlice.reduce(state, stamped);
    state = step.state;
    step.effects.forEach((effect) => {
      if (effect.type === 'membership.send') send(effect.packet);
    });
  }

  function send(packet: MembershipPacket): void {
    bytes +=
      encodePacket({ packet, timestamp }, KEY).length + UDP_IP_HEADER_BYTES;
    packets += 1;
    outbox.push(packet);
  }

  function receive(packet: MembershipPacket, from: EntryAddress): void {
    const datagram = encodePacket({ packet, timestamp }, KEY);
    const decoded = decodePacket(datagram, KEY);
    bytes += datagram.length + UDP_IP_HEADER_BYTES;
    packets += 1;
    dispatch({ type: 'membership.received', packet: decoded?.packet, from });
  }

  function packetFrom(
    peer: EntryAddress,
    kind: 'ping' | 'ack',
    sequence: number,
  ) {
    const { entryId, incarnation } = peer;
    const record = {
      entryId,
      incarnation,
      revision: 0,
      status: 'alive' as const,
      leaving: false,
    };
    const gossiped = all[Math.floor(Math.random() * size)] ?? peer;
    return {
      kind,
      sequence,
      sender: { ...record, address: kind === 'ping' ? peer : undefined },
      subjectId: undefined,
      tableNumber: 1,
      updates: [
        {
          ...record,
          entryId: gossiped.entryId,
          incarnation: gossiped.incarnation,
          address: gossiped,
        },
      ],
    } satisfies MembershipPacket;
  }

  dispatch({ type: 'entry.started', self: all[0] });
  dispatch({
    type: 'membership.listed',
    entries: all.map((a) => ({ ...a, leaving: false })),
  });
  dispatch({ type: 'membership.fetched', updates: [] });

  function simulateSecond(): void {
    for (let tick = 0; tick < 1_000 / TICK_MS; tick += 1) {
      nowMs += TICK_MS;
      outbox.length = 0;
      dispatch({ type: 'clock.ticked' });
      const ping = outbox.find(({ kind }) => kind === 'ping');
      const probed = state.probe && state.members.get(state.probe.subjectId);
      if (ping && probed)
        receive(
          packetFrom(probed.address, 'ack', ping.sequence),
          probed.address,
        );
      const prober = all[1 + Math.floor(Math.random() * (size - 1))];
      if (tick === 5 && prober) receive(packetFrom(prober, 'ping', 1), prober);
    }
  }

  for (let warm = 0; warm < 10; warm += 1) simulateSecond();
  const stateBytes = usedHeapBytes() - before;
  bytes = 0;
  packets = 0;
  const start = process.cpuUsage();
  for (let count = 0; count < SECONDS; count += 1) simulateSecond();
  const { user, system } = process.cpuUsage(start);
  return {
    stateBytes,
    packetsPerS: packets / SECONDS,
    bytesPerS: bytes / SECONDS,
    // Includes the encoding of the simulated members' packets, so this is an
    // upper bound.
    cpuUsPerS: (user + system) / SECONDS,
  };
}
