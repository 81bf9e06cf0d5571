import type {
  ExactInteger,
  ListedTarget,
} from '@endivegate/contracts/forwarding';
import type { Step } from '../../step/index.ts';

/** A listed target with the observations of this entry. */
export interface RosterTarget extends ListedTarget {
  /** Time at which a held removal takes effect; undefined when none is held. */
  readonly removalDueAtMs: number | undefined;
  /** When it was first missing; only set while its removal is held. */
  readonly missingSinceMs?: number;
  /** Position of the store at which it was missing. */
  readonly missingAt?: ListPosition | undefined;
  /** Until this time new requests go there only when no other target is left. */
  readonly avoidUntilMs: number;
  /** Until this time it gets no requests from this entry, as it asked; 0 when it
   * asked for no pause. */
  readonly pausedUntilMs: number;
  /** Until this time its list entry may be a remnant of an older copy of the
   * store, so it gets no requests; 0 for a confirmed entry. */
  readonly unconfirmedUntilMs: number;
  /** When its list entry was last read; only set if the entry says that the target
   * is cold. */
  readonly listedAtMs?: number;
  /** Consecutive failures. */
  readonly failures: number;
  /** Smoothed ratio of observed to expected time; 1 matches the cost model. */
  readonly slowdown: number;
  /** Replaces the id in messages between entries. */
  readonly idHash: number;
  /** Rank in [0, 1), the same at every entry; short prompts prefer low ranks. */
  readonly laneRank: number;
}

/** A process of a target: after a restart, the same id is another process. */
export interface TargetProcess {
  readonly id: string;
  /** Unix time of its start. */
  readonly bornMs: number;
}

/** A process whose entry was not in the store any more, as an entry saw it that followed
 * the store all along. */
export interface TargetRemoval extends TargetProcess {
  /** Position of the store at which it was not listed. */
  readonly era: ExactInteger;
  readonly revision: ExactInteger;
}

/** A removal that this entry saw, or heard of. */
export interface KnownRemoval extends TargetRemoval {
  /** When this entry learned of it. */
  readonly atMs: number;
  /** Whether this entry saw it itself. */
  readonly isOwn: boolean;
  /** Names of the peers that reported it. */
  readonly reporters: readonly string[];
}

/** Position in the history of the store. */
export interface ListPosition {
  readonly era: ExactInteger;
  readonly revision: ExactInteger;
}

/** Removals that are held. */
export interface HeldRemovals {
  readonly targets: number;
  /** Longest time since one of them was first missing; 0 if there are none. */
  readonly oldestMs: number;
}

/** Known targets, and the processes that were seen draining or gone. */
export interface RosterState {
  readonly targets: ReadonlyMap<string, RosterTarget>;
  /** Until this time, a target that is missing from the list is kept. */
  readonly holdRemovalsUntilMs: number;
  /** Time at which each process was last seen draining, by {@link processKey}.
   * While it is remembered, such a process is not usable even if it is listed as
   * ready. */
  readonly drainedProcesses: ReadonlyMap<string, number>;
  /** Time at which each process was dropped from the list, by `processKey`. */
  readonly goneProcesses: ReadonlyMap<string, number>;
  /** Lists that are read before this time may come from an older copy of the
   * store and name processes that are gone. */
  readonly remnantsUntilMs: number;
  /** Since when this entry has followed the store itself without a failure; undefined
   * while it does not. */
  readonly followedSinceMs: number | undefined;
  /** Era of the newest list; undefined before. */
  readonly era: ExactInteger | undefined;
  /** Removals that need not be held, by `processKey`. */
  readonly removals: ReadonlyMap<string, KnownRemoval>;
}

/**
 * Cause of a failure: `broken` is a failed connection or answer; `slow` is a
 * silence, which may also be due to load; `replaced` means that another process
 * answers at the target's address.
 */
export type FailureCause = 'broken' | 'slow' | 'replaced';

/** Events of the roster; times are from the monotonic clock. */
export type RosterEvent =
  /** The complete list was read. */
  | {
      readonly type: 'roster.listed';
      readonly atMs: number;
      readonly targets: readonly ListedTarget[];
      readonly at?: ListPosition;
    }
  | {
      readonly type: 'roster.put';
      readonly atMs: number;
      readonly target: ListedTarget;
    }
  /** A list entry was deleted or can no longer be read. */
  | {
      readonly type: 'roster.removed';
      readonly atMs: number;
      readonly id: string;
      /** A position of the store at which it was not listed. */
      readonly at?: ListPosition;
    }
  /** The store answered a call of this entry. */
  | { readonly type: 'roster.followed'; readonly atMs: number }
  /** A call to the store failed, or this entry stopped following it. */
  | { readonly type: 'roster.interrupted'; readonly atMs: number }
  /** A peer reported processes that are not listed any more. */
  | {
      readonly type: 'roster.removalsReported';
      readonly atMs: number;
      readonly peer: string;
      readonly removals: readonly TargetRemoval[];
    }
  /** The list could not be read; list entries may lapse in the meantime. */
  | { readonly type: 'roster.storeLost'; readonly atMs: number }
  /** The store lost its newest writes: it was restored from an older copy. */
  | { readonly type: 'roster.storeRestored'; readonly atMs: number }
  /** A peer lists targets after a store outage: removals are held until then. */
  | {
      readonly type: 'roster.removalsHeld';
      readonly untilMs: number;
    }
  /** The store has been available for long enough that live targets are listed again, as a
   * peer that follows it knows. */
  | { readonly type: 'roster.holdEnded'; readonly atMs: number }
  /** A target said in a response that it is leaving. */
  | ({
      readonly type: 'roster.leavingAnnounced';
      readonly atMs: number;
    } & TargetProcess)
  /** A peer reported processes that are draining. */
  | {
      readonly type: 'roster.leavingHeard';
      readonly atMs: number;
      readonly processes: readonly TargetProcess[];
    }
  /** A target refused a request and asked this entry for a pause. */
  | ({
      readonly type: 'roster.pauseRequested';
      readonly atMs: number;
      readonly pauseMs: number;
    } & TargetProcess)
  | {
      readonly type: 'roster.succeeded';
      readonly atMs: number;
      readonly id: string;
      /** Ratio of observed to expected time; undefined if not comparable. */
      readonly ratio: number | undefined;
    }
  | {
      readonly type: 'roster.failed';
      readonly atMs: number;
      readonly id: string;
      readonly reason: string;
      readonly cause: FailureCause;
    }
  | { readonly type: 'roster.ticked'; readonly atMs: number };

/** A roster change to log, or to report. */
export type RosterEffect =
  /** This entry saw a removal that peers may hold. */
  | { readonly type: 'roster.removalReportDue' }
  | {
      readonly type: 'roster.changed';
      readonly id: string;
      readonly change:
        | 'added'
        | 'draining'
        | 'held'
        | 'removed'
        | 'restarted'
        | 'avoided'
        | 'unconfirmed';
      readonly reason: string;
      /** For how long the removal of a removed target was held. */
      readonly heldMs?: number;
    }
  | {
      readonly type: 'roster.paused';
      readonly id: string;
      /** Length of the pause that is observed. */
      readonly pauseMs: number;
      /** Length that the target asked for; longer than `pauseMs` if that was
       * beyond the longest pause. */
      readonly requestedMs: number;
    };

/** New roster and the changes to log. */
export type RosterStep = Step<RosterState, RosterEffect>;
