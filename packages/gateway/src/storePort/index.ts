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
  /** The revision to watch from is no longer available. */
  | { readonly type: 'historyGone' }
  /** The lease has expired or was revoked. */
  | { readonly type: 'leaseGone' }
  /** A precondition of the call was not met. */
  | { readonly type: 'conflict' };

/** A key-value pair in the store. */
export interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  readonly revision: number;
}

/** A change to an item with the watched prefix. */
export type StoreChange =
  | { readonly type: 'put'; readonly item: StoredItem }
  | { readonly type: 'removed'; readonly key: string };

/** Listed items, and the revision from which to watch for changes. */
export interface StoredItems {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** Operations of the key-value store that the gateway uses. */
export interface StorePort {
  readonly list: (
    prefix: string,
    options?: { readonly mayBeStale?: boolean },
  ) => TE.TaskEither<StoreError, StoredItems>;
  /** Resolves as soon as there are changes, or without any after `waitMs`. */
  readonly watch: (query: {
    readonly prefix: string;
    readonly afterRevision: number;
    readonly waitMs: number;
  }) => TE.TaskEither<
    StoreError,
    { readonly changes: readonly StoreChange[]; readonly revision: number }
  >;
  /** Grants a lease; keys attached to it are deleted when it expires. */
  readonly grantLease: (ttlMs: number) => TE.TaskEither<StoreError, number>;
  readonly renewLease: (leaseId: number) => TE.TaskEither<StoreError, void>;
  /** Writes a key attached to a lease, replacing any existing value. */
  readonly put: (entry: {
    readonly key: string;
    readonly value: Buffer;
    readonly leaseId: number;
  }) => TE.TaskEither<StoreError, void>;
}
