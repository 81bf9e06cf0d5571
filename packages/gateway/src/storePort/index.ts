import type * as TE from 'fp-ts/lib/TaskEither.js';

/** Why a call to the store did not succeed. */
export type StoreError =
  /** Refused by the rate limit or as busy; it had no effect. */
  | { readonly type: 'refused'; readonly status: number }
  /** No answer, or none that can be read; it may have taken effect. */
  | { readonly type: 'unanswered'; readonly reason: string }
  /** The history that a watch asked for is gone. */
  | { readonly type: 'historyGone' }
  /** The lease that a call names has ended. */
  | { readonly type: 'leaseGone' }
  /** A condition did not hold. */
  | { readonly type: 'conflict' };

/** A stored value. */
export interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  readonly revision: number;
}

/** What changed below a prefix. */
export type StoreChange =
  | { readonly type: 'put'; readonly item: StoredItem }
  | { readonly type: 'removed'; readonly key: string };

/** Items, and the revision from which their changes are to be watched. */
export interface StoredItems {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** The calls of a key-value store that the gateway uses. */
export interface StorePort {
  readonly list: (
    prefix: string,
    options?: { readonly mayBeStale?: boolean },
  ) => TE.TaskEither<StoreError, StoredItems>;
  /** Answers as soon as anything changed, or empty after `waitMs`. */
  readonly watch: (query: {
    readonly prefix: string;
    readonly afterRevision: number;
    readonly waitMs: number;
  }) => TE.TaskEither<
    StoreError,
    { readonly changes: readonly StoreChange[]; readonly revision: number }
  >;
  /** Grants a lease; keys written under it go when it ends. */
  readonly grantLease: (ttlMs: number) => TE.TaskEither<StoreError, number>;
  readonly renewLease: (leaseId: number) => TE.TaskEither<StoreError, void>;
  /** Writes a key under a lease, whatever was there. */
  readonly put: (entry: {
    readonly key: string;
    readonly value: Buffer;
    readonly leaseId: number;
  }) => TE.TaskEither<StoreError, void>;
}
