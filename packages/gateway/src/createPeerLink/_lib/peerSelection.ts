import {
  formsCells,
  type Peer,
  type PeerStatus,
} from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../../gatewayRuntime/index.ts';

/** Chooses the peers that a message is sent to. */
export interface PeerSelection {
  /** Peers that were heard recently. */
  readonly knownPeers: () => readonly Peer[];
  /** Those of them in this data centre. */
  readonly localPeers: () => readonly Peer[];
  /** A random peer in each of the other data centres. */
  readonly relays: () => readonly Peer[];
  /** Addresses of this data centre's entries, those with the most cores first. */
  readonly hubCandidates: () => readonly string[];
  /** Whether this entry is one of those that tell others of its data centre. */
  readonly isDigestSender: () => boolean;
  /** Whether requests are told to this data centre only; see `formsCells`. */
  readonly isCell: () => boolean;
}

/** Options of {@link createPeerSelection}. */
export interface CreatePeerSelectionOptions {
  readonly runtime: GatewayRuntime;
  readonly self: () => PeerStatus;
  /** Monotonic time in ms. */
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Messages are sent to a peer until this long after it was last heard from. */
const PEER_TIMEOUT_MS = 4000;

/** Entries of a data centre that tell its status to the others, so that the loss
 * of one leaves no gap. */
const DIGEST_SENDERS = 2;

/** Creates the selection of peers from the current state of the gateway. */
export function createPeerSelection(
  options: CreatePeerSelectionOptions,
): PeerSelection {
  const { runtime, self, now, random } = options;
  const { dataCentre } = self();

  function knownPeers(): readonly Peer[] {
    return [...runtime.state().peers.values()].filter(
      (peer) => now() - peer.heardAtMs < PEER_TIMEOUT_MS,
    );
  }

  function localPeers(): readonly Peer[] {
    return knownPeers().filter((peer) => peer.dataCentre === dataCentre);
  }

  /** Picks a random peer in each of the other data centres. */
  function relays(): readonly Peer[] {
    const remote = knownPeers().filter(
      (peer) => peer.dataCentre !== dataCentre,
    );
    const names = [...new Set(remote.map((peer) => peer.dataCentre))];
    return names.flatMap((name) => {
      const peers = remote.filter((peer) => peer.dataCentre === name);
      return peers.slice(Math.floor(random() * peers.length)).slice(0, 1);
    });
  }

  /** Whether requests are told to this data centre only; see `formsCells`. */
  function isCell(): boolean {
    return formsCells({ ...runtime.state(), dataCentre });
  }

  /** Entries of this data centre, those with the most capacity first. */
  function hubCandidates(): readonly string[] {
    return [...localPeers(), self()]
      .toSorted(
        (a, b) =>
          b.weight - a.weight || (a.peerAddress < b.peerAddress ? -1 : 1),
      )
      .map((entry) => entry.peerAddress);
  }

  function isDigestSender(): boolean {
    return hubCandidates()
      .slice(0, DIGEST_SENDERS)
      .includes(self().peerAddress);
  }

  return {
    knownPeers,
    localPeers,
    relays,
    hubCandidates,
    isDigestSender,
    isCell,
  };
}

/** Picks a run of items that begins at a random one. */
export function pickSome<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): readonly T[] {
  const first = Math.floor(random() * items.length);
  return [...items.slice(first), ...items.slice(0, first)].slice(0, count);
}
