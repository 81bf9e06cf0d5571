import type { Peer, PeersState } from '../peerList/index.ts';

/**
 * Version of the messages that this build sends to its peers. It rises with each
 * addition that a sender has to know about its peers; docs/PROTOCOLS.md has the
 * table.
 */
export const PROTOCOL_VERSION = 1;

/**
 * Determines the protocol version to use with a peer.
 *
 * @param peer - Status of the peer; builds that name no version count as 0.
 * @param ownVersion - The newest version that this build knows.
 * @returns The newest version that both know.
 *
 * @example
 * commonVersion({ protocolVersion: 3 }, 1); // 1
 */
export function commonVersion(
  peer: { readonly protocolVersion?: number },
  ownVersion: number = PROTOCOL_VERSION,
): number {
  return Math.min(peer.protocolVersion ?? 0, ownVersion);
}

/** First version whose builds serve relayed requests and divide the limits of targets;
 * some builds of version 0 do, too. */
const RELAYS_AND_LIMITS = 1;

/**
 * Checks whether a request may be relayed to a peer.
 *
 * @param peer - The peer.
 * @returns False also if it is not known.
 *
 * @example
 * servesRelays(peer);
 */
export function servesRelays(peer: Peer): boolean {
  return commonVersion(peer) >= RELAYS_AND_LIMITS || peer.servesRelays === true;
}

/**
 * Checks whether a peer divides the limits that targets name. Relays and limits were
 * added by the same build.
 *
 * @param peer - The peer.
 * @returns Undefined if it is not known.
 *
 * @example
 * dividesLimits(peer) === false;
 */
export function dividesLimits(peer: Peer): boolean | undefined {
  return servesRelays(peer) ? true : peer.servesRelays;
}

/**
 * Lists the peers that have to be asked whether they serve relayed requests.
 *
 * @param peers - Current peers.
 * @returns Those that name no protocol version and were not asked.
 *
 * @example
 * unprobedPeers(state.peers);
 */
export function unprobedPeers(peers: PeersState): readonly Peer[] {
  return [...peers.values()].filter(
    (peer) => dividesLimits(peer) === undefined,
  );
}
