import type { ExactInteger } from '@endivegate/contracts/forwarding';
import type * as TE from 'fp-ts/lib/TaskEither.js';

/** Error of a call to the store. */
export type StoreError =
  /**
   * The store refused the call because of its rate limit or load; it had no
   * effect.
   */
  | { readonly type: 'refused'; readonly status: number }
  /** No valid answer was received; the call may have taken effect. */
  | { readonly type: 'unanswered'; readonly reason: string }
  /** The revision to watch from is not available, or not any more. */
  | { readonly type: 'historyGone' }
  /** The store was restored from a copy between the parts of the call. */
  | { readonly type: 'restored' }
  /** The lease has expired or was revoked. */
  | { readonly type: 'leaseGone' }
  /** A precondition of the call was not met. */
  | { readonly type: 'conflict' };

/** A key-value pair in the store. */
export interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  readonly revision: ExactInteger;
}

/** A change to an item with the watched prefix. */
export type StoreChange =
  | { readonly type: 'put'; readonly item: StoredItem }
  | {
      readonly type: 'removed';
      readonly key: string;
      /** Revision of the removal; absent if the store does not tell it. */
      readonly revision?: ExactInteger | undefined;
    };

/** A revision of the store, which is unique only within an era. */
export interface StorePosition {
  readonly era: ExactInteger;
  readonly revision: ExactInteger;
}

/** Listed items, and the revision from which to watch for changes. */
export interface StoredItems {
  readonly items: readonly StoredItem[];
  readonly revision: ExactInteger;
  /** Era of the store; see {@link StorePort}. */
  readonly era: ExactInteger;
}

/** Changes after a revision, and the revision from which to continue. */
export interface StoredChanges {
  readonly changes: readonly StoreChange[];
  readonly revision: ExactInteger;
  /** Era of the store; see {@link StorePort}. */
  readonly era: ExactInteger;
}

/** A granted lease. Its id is valid only in the era of its grant. */
export interface Lease {
  readonly leaseId: string;
  readonly era: ExactInteger;
}

/**
 * Operations of the key-value store that the gateway uses.
 *
 * The store may be restored from an older copy, which loses its newest writes and
 * leases and gives out their revisions and lease ids again. Its era rises each
 * time, so revisions and lease ids of different eras must not be mixed.
 */
export interface StorePort {
  readonly list: (
    prefix: string,
    options?: { readonly mayBeStale?: boolean },
  ) => TE.TaskEither<StoreError, StoredItems>;
  /** Resolves as soon as there are changes, or without any after `waitMs`. */
  readonly watch: (query: {
    readonly prefix: string;
    readonly afterRevision: ExactInteger;
    readonly waitMs: number;
  }) => TE.TaskEither<StoreError, StoredChanges>;
  /** Grants a lease; keys attached to it are deleted when it expires. */
  readonly grantLease: (ttlMs: number) => TE.TaskEither<StoreError, Lease>;
  /** Returns the era of the store. */
  readonly renewLease: (
    leaseId: string,
  ) => TE.TaskEither<StoreError, ExactInteger>;
  /** Writes a key attached to a lease, replacing any existing value. Returns the
   * era of the store. */
  readonly put: (entry: {
    readonly key: string;
    readonly value: Buffer;
    readonly leaseId: string;
  }) => TE.TaskEither<StoreError, ExactInteger>;
}
