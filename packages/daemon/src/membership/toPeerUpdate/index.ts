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

const STATUS_BY_WIRE = new Map<WireStatus, MemberStatus>([
  [WireStatus.ALIVE, 'alive'],
  [WireStatus.SUSPECT, 'suspect'],
  [WireStatus.DEAD, 'dead'],
]);

/**
 * Turns a member's record into its form on the wire.
 *
 * @param update - The record.
 * @returns The generated message.
 */
export function toPeerUpdate(update: MemberUpdate): WireUpdate {
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
 * Reads a member's record from its form on the wire.
 *
 * @param wire - The generated message.
 * @returns The record, or `undefined` when it names no entry or no status.
 */
export function fromPeerUpdate(wire: WireUpdate): MemberUpdate | undefined {
  const status = STATUS_BY_WIRE.get(wire.status);
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
