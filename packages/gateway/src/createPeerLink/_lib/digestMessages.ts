import { type Peer, peerTimes } from '@endivegate/core/forwarding';
import type { PeerMessage } from './peerMessage.ts';
import { pickSome } from './peerSelection.ts';

/** Entries that one digest tells of. Callers are told few addresses, so the cost of
 * digests need not grow with the fleet. */
const MAX_DIGEST_ENTRIES = 16;

/** Parts of a message that an entry does not tell when it is only passed on. */
export const NO_NEWS = {
  flights: undefined,
  drainingProcesses: [],
  crashes: [],
  addresses: [],
} as const;

/** Entries to choose from for a digest. */
export interface DigestQuery {
  /** Peers of this data centre. */
  readonly localPeers: readonly Peer[];
  readonly nowMs: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Lists the messages that tell the other data centres of some entries of this one:
 * its own, and those of peers that were heard recently, without requests.
 */
export function digestMessages(
  own: PeerMessage,
  query: DigestQuery,
): readonly PeerMessage[] {
  const { localPeers, nowMs, random } = query;
  const { silenceMs } = peerTimes(localPeers.length + 1);
  const heard = localPeers.filter((peer) => nowMs - peer.heardAtMs < silenceMs);
  const passedOn = pickSome(heard, MAX_DIGEST_ENTRIES, random).map((peer) => ({
    ...NO_NEWS,
    self: peer,
  }));
  return [{ ...own, flights: undefined }, ...passedOn];
}
