import { createHmac, timingSafeEqual } from 'node:crypto';
import {
  MembershipPacket as WirePacket,
  MembershipPacket_Kind as WireKind,
} from '@endivegate/contracts/peers';
import type { HybridTimestamp, MembershipPacket } from '@endivegate/core';
import { fromPeerUpdate, toPeerUpdate } from '../toPeerUpdate/index.ts';

/** Bytes of the authentication code at the end of a datagram. */
const CODE_BYTES = 16;

const WIRE_KIND: Readonly<Record<MembershipPacket['kind'], WireKind>> = {
  ping: WireKind.PING,
  ack: WireKind.ACK,
  pingRequest: WireKind.PING_REQUEST,
  gossip: WireKind.GOSSIP,
};

const KIND_BY_WIRE = new Map<WireKind, MembershipPacket['kind']>([
  [WireKind.PING, 'ping'],
  [WireKind.ACK, 'ack'],
  [WireKind.PING_REQUEST, 'pingRequest'],
  [WireKind.GOSSIP, 'gossip'],
]);

/** A packet with the timestamp that its datagram carries. */
export interface TimedPacket {
  readonly packet: MembershipPacket;
  readonly timestamp: HybridTimestamp;
}

/**
 * Encodes a membership packet as a datagram.
 *
 * @param timed - The packet and its timestamp.
 * @param key - Key shared by the fleet; datagrams are not signed without it.
 * @returns The datagram.
 */
export function encodePacket(
  { packet, timestamp }: TimedPacket,
  key: string | undefined,
): Buffer {
  const { sequence, tableNumber, subjectId = '' } = packet;
  const body = Buffer.from(
    WirePacket.encode({
      kind: WIRE_KIND[packet.kind],
      sequence,
      sender: toPeerUpdate(packet.sender),
      subjectId,
      tableNumber,
      timestamp,
      updates: packet.updates.map(toPeerUpdate),
    }).finish(),
  );
  return key === undefined ? body : Buffer.concat([body, codeOf(body, key)]);
}

/**
 * Decodes a datagram.
 *
 * @param datagram - Bytes as received.
 * @param key - Key shared by the fleet.
 * @returns The packet, or `undefined` when the datagram is malformed or not
 *   signed by the key.
 */
export function decodePacket(
  datagram: Buffer,
  key: string | undefined,
): TimedPacket | undefined {
  const body = key === undefined ? datagram : verified(datagram, key);
  if (!body) return undefined;
  try {
    return fromWire(WirePacket.decode(body));
  } catch {
    return undefined;
  }
}

function codeOf(body: Buffer, key: string): Buffer {
  const code = createHmac('sha256', key).update(body).digest();
  return code.subarray(0, CODE_BYTES);
}

function verified(datagram: Buffer, key: string): Buffer | undefined {
  if (datagram.length <= CODE_BYTES) return undefined;
  const body = datagram.subarray(0, -CODE_BYTES);
  const code = datagram.subarray(-CODE_BYTES);
  return timingSafeEqual(code, codeOf(body, key)) ? body : undefined;
}

function fromWire(wire: WirePacket): TimedPacket | undefined {
  const kind = KIND_BY_WIRE.get(wire.kind);
  const sender = wire.sender && fromPeerUpdate(wire.sender);
  if (!kind || !sender || !wire.timestamp) return undefined;
  const { sequence, tableNumber, subjectId, timestamp } = wire;
  return {
    timestamp,
    packet: {
      kind,
      sequence,
      sender,
      subjectId: subjectId === '' ? undefined : subjectId,
      tableNumber,
      updates: wire.updates.flatMap((update) => fromPeerUpdate(update) ?? []),
    },
  };
}
