import type { EntryAddress } from '@endivegate/contracts';
import type { EventBase } from '../events/index.ts';

/** What the fleet holds of a member. */
export type MemberStatus = 'alive' | 'suspect' | 'dead';

/** A member as this entry knows it. */
export interface Member {
  readonly address: EntryAddress;
  /** Raised by the member itself to refute a suspicion or announce a change. */
  readonly revision: number;
  readonly status: MemberStatus;
  /** Whether it announced that it stops; final within an incarnation. */
  readonly leaving: boolean;
  readonly changedAtMs: number;
}

/** What members tell each other about one of them. */
export interface MemberUpdate {
  readonly entryId: string;
  readonly incarnation: number;
  readonly revision: number;
  readonly status: MemberStatus;
  readonly leaving: boolean;
  /** Left out where the receiver should know it. */
  readonly address: EntryAddress | undefined;
}

/** A datagram of the membership protocol. */
export interface MembershipPacket {
  readonly kind: 'ping' | 'ack' | 'pingRequest' | 'gossip';
  readonly sequence: number;
  readonly sender: MemberUpdate;
  /** The entry to probe, in a ping request. */
  readonly subjectId: string | undefined;
  /** Number of the table that the sender has in force. */
  readonly tableNumber: number;
  readonly updates: readonly MemberUpdate[];
}

/** Where a packet goes to or comes from. */
export interface PacketAddress {
  readonly host: string;
  readonly peerPort: number;
}

/** The probe that runs now. */
export interface Probe {
  readonly subjectId: string;
  readonly sequence: number;
  readonly startedAtMs: number;
  /** How often helpers were asked. */
  readonly rounds: number;
}

/** A probe run for another member. */
export interface ProxyProbe {
  readonly sequence: number;
  readonly requestSequence: number;
  readonly requester: PacketAddress;
  readonly expiresAtMs: number;
}

/** State of the membership slice. */
export interface MembershipState {
  readonly self: EntryAddress | undefined;
  readonly revision: number;
  readonly leaving: boolean;
  /** Incarnation of a later process under this entry's id; 0 for none. */
  readonly supersededBy: number;
  /** Whether the entry said that it exits; it sends nothing more. */
  readonly gone: boolean;
  readonly nowMs: number;
  /** The other members by entry id. */
  readonly members: ReadonlyMap<string, Member>;
  /** Members that are not dead, in the order in which they are probed. */
  readonly order: readonly string[];
  readonly deadIds: readonly string[];
  readonly cursor: number;
  readonly repairCursor: number;
  readonly sequence: number;
  readonly probe: Probe | undefined;
  readonly nextProbeAtMs: number;
  readonly nextDeadProbeAtMs: number;
  readonly nextGossipAtMs: number;
  readonly proxyProbes: readonly ProxyProbe[];
  /** End of each suspicion by entry id. */
  readonly suspicions: ReadonlyMap<string, number>;
  /** Copies sent of each update that still spreads, by entry id. */
  readonly spreading: ReadonlyMap<string, number>;
  readonly tableNumber: number;
  readonly tableCopies: number;
  readonly budgetBytes: number;
  readonly healthPenalty: number;
  /** Whether members changed since the last `members.changed`. */
  readonly changed: boolean;
  readonly fetched: boolean;
  readonly nextFetchAtMs: number;
}

/** Events of the membership slice. */
export type MembershipEvent = EventBase &
  (
    | {
        readonly type: 'membership.received';
        readonly packet: MembershipPacket;
        readonly from: PacketAddress;
      }
    /** The platform's instance list, or seeds from the settings. */
    | {
        readonly type: 'membership.listed';
        readonly entries: readonly (EntryAddress & {
          readonly leaving: boolean;
        })[];
      }
    /** The members another entry knows, as answer to a fetch. */
    | {
        readonly type: 'membership.fetched';
        readonly updates: readonly MemberUpdate[];
      }
  );

/** Effects of the membership slice. */
export type MembershipEffect =
  | {
      readonly type: 'membership.send';
      readonly to: PacketAddress;
      readonly packet: MembershipPacket;
    }
  /** Ask a member for all it knows; the answer is `membership.fetched`. */
  | { readonly type: 'membership.fetch'; readonly from: PacketAddress }
  /** A member told the number of the table that it has in force. */
  | {
      readonly type: 'membership.tableSeen';
      readonly number: number;
      readonly from: EntryAddress;
    }
  /** A later process runs under this entry's id; told once for each. */
  | { readonly type: 'membership.superseded'; readonly incarnation: number };
