import {
  MemberStatus as WireStatus,
  type MemberUpdate as WireUpdate,
} from '@endivegate/contracts/peers';
import type { MemberStatus, MemberUpdate } from '@endivegate/core';

const WIRE_STATUS: Readonly<Record<MemberStatus, WireStatus>> = {
  alive: WireStatus.ALIVE,
  suspect: WireStatus.SUSPECT,
  dead: WireStatus.DEAD,
};

const STATUS_BY_WIRE_STATUS = new Map<WireStatus, MemberStatus>([
  [WireStatus.ALIVE, 'alive'],
  [WireStatus.SUSPECT, 'suspect'],
  [WireStatus.DEAD, 'dead'],
]);

/**
 * Converts a member record to its wire format.
 *
 * @param update - The record.
 * @returns The Protocol Buffers message.
 */
export function toWireUpdate(update: MemberUpdate): WireUpdate {
  const { address } = update;
  return {
    entryId: update.entryId,
    incarnation: update.incarnation,
    revision: update.revision,
    status: WIRE_STATUS[update.status],
    leaving: update.leaving,
    address: address && {
      region: address.region,
      dataCentre: address.dataCentre,
      host: address.host,
      httpPort: address.httpPort,
      peerPort: address.peerPort,
    },
  };
}

/**
 * Converts a member record from its wire format.
 *
 * @param wire - The Protocol Buffers message.
 * @returns The record, or `undefined` when its entry id is empty or its status
 *   is unknown.
 */
export function fromWireUpdate(wire: WireUpdate): MemberUpdate | undefined {
  const status = STATUS_BY_WIRE_STATUS.get(wire.status);
  if (!status || wire.entryId === '') return undefined;
  const { entryId, incarnation, revision, leaving, address } = wire;
  return {
    entryId,
    incarnation,
    revision,
    status,
    leaving,
    address: address && { entryId, incarnation, ...address },
  };
}
