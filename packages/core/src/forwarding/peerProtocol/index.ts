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
