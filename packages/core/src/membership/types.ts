import type { EntryAddress } from '@endivegate/contracts';
import type { EventBase } from '../events/index.ts';

/** Status of a member as agreed by gossip. */
export type MemberStatus = 'alive' | 'suspect' | 'dead';

/** This entry's record of a member. */
export interface Member {
  readonly address: EntryAddress;
  /**
   * Raised by the member itself to refute a suspicion or to announce a
   * change.
   */
  readonly revision: number;
  readonly status: MemberStatus;
  /**
   * Whether the member announced that it is shutting down; never reset within
   * an incarnation.
   */
  readonly leaving: boolean;
  readonly changedAtMs: number;
}

/** Gossiped record of one member. */
export interface MemberUpdate {
  readonly entryId: string;
  readonly incarnation: number;
  readonly revision: number;
  readonly status: MemberStatus;
  readonly leaving: boolean;
  /** Omitted when the receiver is expected to know the address already. */
  readonly address: EntryAddress | undefined;
}

/** A datagram of the membership protocol. */
export interface MembershipPacket {
  readonly kind: 'ping' | 'ack' | 'pingRequest' | 'gossip';
  readonly sequence: number;
  readonly sender: MemberUpdate;
  /** The entry to probe, in a ping request. */
  readonly subjectId: string | undefined;
  /** Number of the table in force at the sender. */
  readonly tableNumber: number;
  readonly updates: readonly MemberUpdate[];
}

/** Source or destination of a packet. */
export interface PacketAddress {
  readonly host: string;
  readonly peerPort: number;
}

/** The probe in progress. */
export interface Probe {
  readonly subjectId: string;
  readonly sequence: number;
  readonly startedAtMs: number;
  /** Number of indirect probe rounds started so far. */
  readonly rounds: number;
}

/** A probe performed on behalf of another member. */
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
  /** Incarnation of a later process with the same entry id; 0 if none. */
  readonly supersededBy: number;
  /** Whether this entry has announced its exit; it sends nothing afterwards. */
  readonly exited: boolean;
  readonly nowMs: number;
  /** The other members by entry id. */
  readonly members: ReadonlyMap<string, Member>;
  /** Ids of the members that are not dead, in probe order. */
  readonly probeOrder: readonly string[];
  readonly deadIds: readonly string[];
  readonly probeCursor: number;
  readonly repairCursor: number;
  readonly sequence: number;
  readonly probe: Probe | undefined;
  readonly nextProbeAtMs: number;
  readonly nextDeadProbeAtMs: number;
  readonly nextGossipAtMs: number;
  readonly proxyProbes: readonly ProxyProbe[];
  /** Time at which each suspected member is declared dead, by entry id. */
  readonly suspicionDeadlines: ReadonlyMap<string, number>;
  /** Times that each update still being gossiped was sent, by entry id. */
  readonly transmitCounts: ReadonlyMap<string, number>;
  readonly tableNumber: number;
  /** Packets sent since the last new table number; every packet carries it. */
  readonly tableTransmitCount: number;
  /** Bytes that may be sent now before gossip pauses. */
  readonly gossipBudgetBytes: number;
  /** Lengthens probe timeouts while this entry may itself be slow. */
  readonly healthPenalty: number;
  /** Whether members changed since the last `members.changed`. */
  readonly changed: boolean;
  /** Whether a member has answered with its full member list. */
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
    /** Entries from the platform's instance list or the configured seeds. */
    | {
        readonly type: 'membership.listed';
        readonly entries: readonly (EntryAddress & {
          readonly leaving: boolean;
        })[];
      }
    /** Response to `membership.fetch`: all members known to another entry. */
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
  /** Requests the full member list; answered by `membership.fetched`. */
  | { readonly type: 'membership.fetch'; readonly from: PacketAddress }
  /** A packet reported the number of the table in force at its sender. */
  | {
      readonly type: 'membership.tableNumberReceived';
      readonly number: number;
      readonly from: EntryAddress;
    }
  /**
   * A later process runs with this entry's id; emitted once per newer
   * incarnation.
   */
  | { readonly type: 'membership.superseded'; readonly incarnation: number };
