import type * as TE from 'fp-ts/lib/TaskEither.js';
import type { EntryAddress, Target } from '../../addresses/index.ts';

/** Why a call to the platform did not succeed. */
export type PlatformError =
  /** The call was refused by the rate limit; it had no effect. */
  | { readonly type: 'rateLimited'; readonly retryAfterMs: number }
  /** No connection was made; the call had no effect. */
  | { readonly type: 'unreachable' }
  /** The reply was lost or late; the call may have taken effect. */
  | { readonly type: 'replyLost' }
  /** A compare-and-swap met another version; it had no effect. */
  | { readonly type: 'conflict'; readonly current: KeyValue | undefined }
  /** The lease named in the call does not exist or has lapsed. */
  | { readonly type: 'leaseLapsed' }
  /** The value is larger than the store holds. */
  | { readonly type: 'valueTooLarge' };

/** A stored value with its version. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Version of this key; 0 stands for "does not exist" in a compare-and-swap. */
  readonly version: number;
}

/** A lease as granted by the platform. */
export interface Lease {
  readonly leaseId: string;
  readonly ttlMs: number;
}

/** A change seen by a watch. */
export interface WatchBatch {
  /** Store revision to continue from. */
  readonly revision: number;
  readonly changes: readonly (
    | ({ readonly type: 'put' } & KeyValue)
    | { readonly type: 'delete'; readonly key: string }
  )[];
}

/** The platform's list of live and leaving instances; it lags. */
export interface InstanceList {
  readonly entries: readonly (EntryAddress & { readonly leaving: boolean })[];
  readonly targets: readonly Target[];
}

/** Purpose of a platform call, for accounting. */
export type StorePurpose =
  | 'table'
  | 'claims'
  | 'leases'
  | 'orders'
  | 'suspects'
  | 'limits'
  | 'instances';

/** Options of every platform call. */
export interface StoreCallOptions {
  readonly purpose: StorePurpose;
  readonly timeoutMs?: number;
}

/** The platform's key-value service, instance list and weight store. */
export interface PlatformPort {
  readonly get: (
    key: string,
    options: StoreCallOptions,
  ) => TE.TaskEither<PlatformError, KeyValue | undefined>;
  readonly list: (
    prefix: string,
    options: StoreCallOptions & { readonly limit?: number },
  ) => TE.TaskEither<PlatformError, readonly KeyValue[]>;
  /** Writes when the key's version equals `expectedVersion` (0: absent). */
  readonly compareAndSwap: (
    put: {
      readonly key: string;
      readonly value: string;
      readonly expectedVersion: number;
      readonly leaseId?: string;
    },
    options: StoreCallOptions,
  ) => TE.TaskEither<PlatformError, KeyValue>;
  /** Deletes when the key's version equals `expectedVersion`. */
  readonly compareAndDelete: (
    entry: { readonly key: string; readonly expectedVersion: number },
    options: StoreCallOptions,
  ) => TE.TaskEither<PlatformError, void>;
  /** Waits for changes below a prefix; resolves empty after `waitMs`. */
  readonly watch: (
    query: {
      readonly prefix: string;
      readonly afterRevision: number;
      readonly waitMs: number;
    },
    options: StoreCallOptions,
  ) => TE.TaskEither<PlatformError, WatchBatch>;
  readonly grantLease: (
    ttlMs: number,
    options: StoreCallOptions,
  ) => TE.TaskEither<PlatformError, Lease>;
  readonly renewLease: (
    leaseId: string,
    options: StoreCallOptions,
  ) => TE.TaskEither<PlatformError, Lease>;
  readonly revokeLease: (
    leaseId: string,
    options: StoreCallOptions,
  ) => TE.TaskEither<PlatformError, void>;
  readonly instances: (
    options: StoreCallOptions,
  ) => TE.TaskEither<PlatformError, InstanceList>;
}
