import { MAX_SHARED_ENTRIES, type Peer } from '@endivegate/core/forwarding';
import type { PeerMessage } from './peerMessage.ts';
import { pickSome } from './peerSelection.ts';

/** Looks for entries at addresses where none is known. */
export interface Contacts {
  /** Contacts some of the addresses; called once per interval. */
  readonly contact: () => void;
  /** Answers contacts of entries that know fewer addresses. */
  readonly answer: (messages: readonly PeerMessage[]) => void;
  readonly addAddresses: (added: readonly string[]) => void;
}

/** Options of {@link createContacts}. */
export interface CreateContactsOptions {
  readonly ownAddress: string;
  readonly seedAddresses: readonly string[];
  readonly knownPeers: () => readonly Peer[];
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Encodes the state of this entry with these addresses of others. */
  readonly encode: (addresses: readonly string[]) => Uint8Array;
  readonly contact: (message: Uint8Array, address: string) => void;
  readonly answer: (message: Uint8Array, address: string) => void;
}

/** Addresses without a known entry that are contacted at a time: the others are
 * usually heard of through those, and each entry of a large fleet would otherwise
 * contact all of them. */
const MAX_CONTACTS = 12;

/** Maximum number of entry addresses in a datagram. */
const MAX_SENT_ADDRESSES = 24;

/** Creates the search for other entries. */
export function createContacts(options: CreateContactsOptions): Contacts {
  const { ownAddress, knownPeers, random } = options;
  const addresses = new Set(options.seedAddresses);
  addresses.delete(ownAddress);

  /**
   * Sends the state and the known addresses to addresses without a known entry,
   * and to the seeds.
   */
  function contact(): void {
    const peers = knownPeers();
    const knownAddresses = new Set(peers.map((peer) => peer.peerAddress));
    const message = encodeContact();
    const unknown = [...addresses].filter(
      (address) => !knownAddresses.has(address),
    );
    pickSome(unknown, MAX_CONTACTS, random).forEach((address) => {
      options.contact(message, address);
    });
    // The seeds pass on addresses; in a large fleet some entries at a time do.
    if (random() * (peers.length + 1) >= MAX_SHARED_ENTRIES) return;
    peers
      .filter((peer) => options.seedAddresses.includes(peer.peerAddress))
      .forEach((peer) => {
        options.contact(message, peer.peerAddress);
      });
  }

  function encodeContact(): Uint8Array {
    const known = knownPeers().map((peer) => peer.peerAddress);
    return options.encode(pickSome(known, MAX_SENT_ADDRESSES, random));
  }

  /** Answers a contact whose sender knows fewer entries than this one. */
  function answer(messages: readonly PeerMessage[]): void {
    const known = Math.min(knownPeers().length, MAX_SENT_ADDRESSES);
    messages
      .filter((message) => message.addresses.length < known)
      .forEach((message) => {
        options.answer(encodeContact(), message.self.peerAddress);
      });
  }

  return {
    contact,
    answer,
    addAddresses(added) {
      added
        .filter((address) => address !== ownAddress)
        .forEach((address) => addresses.add(address));
    },
  };
}
