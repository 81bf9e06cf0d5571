import { createHmac, timingSafeEqual } from 'node:crypto';
import {
  MembershipPacket as WirePacket,
  MembershipPacket_Kind as WireKind,
} from '@endivegate/contracts/peers';
import type { HybridTimestamp, MembershipPacket } from '@endivegate/core';
import { fromWireUpdate, toWireUpdate } from '../toWireUpdate/index.ts';

/** Length in bytes of the truncated HMAC at the end of a datagram. */
const MAC_BYTES = 16;

const WIRE_KIND: Readonly<Record<MembershipPacket['kind'], WireKind>> = {
  ping: WireKind.PING,
  ack: WireKind.ACK,
  pingRequest: WireKind.PING_REQUEST,
  gossip: WireKind.GOSSIP,
};

const KIND_BY_WIRE_KIND = new Map<WireKind, MembershipPacket['kind']>([
  [WireKind.PING, 'ping'],
  [WireKind.ACK, 'ack'],
  [WireKind.PING_REQUEST, 'pingRequest'],
  [WireKind.GOSSIP, 'gossip'],
]);

/** A packet and the timestamp of its datagram. */
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
      sender: toWireUpdate(packet.sender),
      subjectId,
      tableNumber,
      timestamp,
      updates: packet.updates.map(toWireUpdate),
    }).finish(),
  );
  return key === undefined
    ? body
    : Buffer.concat([body, computeMac(body, key)]);
}

/**
 * Decodes a datagram.
 *
 * @param datagram - The received bytes.
 * @param key - Key shared by the fleet.
 * @returns The packet, or `undefined` when the datagram is malformed or not
 *   signed with the key.
 */
export function decodePacket(
  datagram: Buffer,
  key: string | undefined,
): TimedPacket | undefined {
  const body = key === undefined ? datagram : verifyDatagram(datagram, key);
  if (!body) return undefined;
  try {
    return fromWirePacket(WirePacket.decode(body));
  } catch {
    return undefined;
  }
}

function computeMac(body: Buffer, key: string): Buffer {
  const mac = createHmac('sha256', key).update(body).digest();
  return mac.subarray(0, MAC_BYTES);
}

function verifyDatagram(datagram: Buffer, key: string): Buffer | undefined {
  if (datagram.length <= MAC_BYTES) return undefined;
  const body = datagram.subarray(0, -MAC_BYTES);
  const mac = datagram.subarray(-MAC_BYTES);
  return timingSafeEqual(mac, computeMac(body, key)) ? body : undefined;
}

function fromWirePacket(wire: WirePacket): TimedPacket | undefined {
  const kind = KIND_BY_WIRE_KIND.get(wire.kind);
  const sender = wire.sender && fromWireUpdate(wire.sender);
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
      updates: wire.updates.flatMap((update) => fromWireUpdate(update) ?? []),
    },
  };
}
