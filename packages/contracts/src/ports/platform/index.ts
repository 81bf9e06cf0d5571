import type * as TE from 'fp-ts/lib/TaskEither.js';
import type { EntryAddress, Target } from '../../addresses/index.ts';

/** Reason why a call to the platform failed. */
export type PlatformError =
  /** The call exceeded the rate limit and had no effect. */
  | { readonly type: 'rateLimited'; readonly retryAfterMs: number }
  /** No connection was made; the call had no effect. */
  | { readonly type: 'unreachable' }
  /** The response was lost or late; the call may have taken effect. */
  | { readonly type: 'replyLost' }
  /** A compare-and-swap found another version and had no effect. */
  | { readonly type: 'conflict'; readonly current: KeyValue | undefined }
  /** The lease of the call does not exist or has expired. */
  | { readonly type: 'leaseLapsed' }
  /** The value exceeds the store's size limit. */
  | { readonly type: 'valueTooLarge' };

/** A stored value with its version. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Version of the key; in a compare-and-swap, 0 means that the key is absent. */
  readonly version: number;
}

/** A lease as granted by the platform. */
export interface Lease {
  readonly leaseId: string;
  readonly ttlMs: number;
}

/** Changes reported by a watch. */
export interface WatchBatch {
  /** Store revision from which to continue the watch. */
  readonly revision: number;
  readonly changes: readonly (
    | ({ readonly type: 'put' } & KeyValue)
    | { readonly type: 'delete'; readonly key: string }
  )[];
}

/** The platform's list of live and leaving instances, which may be out of date. */
export interface InstanceList {
  readonly entries: readonly (EntryAddress & { readonly leaving: boolean })[];
  readonly targets: readonly Target[];
}

/** Purpose of a call to the platform, for accounting. */
export type StorePurpose =
  | 'table'
  | 'claims'
  | 'leases'
  | 'orders'
  | 'suspects'
  | 'limits'
  | 'instances';

/** Options of all calls to the platform. */
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
