import type {
  KeyValue,
  Lease,
  PlatformError,
  WatchBatch,
} from '@endivegate/contracts';
import { MAX_VALUE_BYTES } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';

/** A key-value store with leases, in memory, in the caller's time. */
export interface PlatformModel {
  readonly get: (key: string) => KeyValue | undefined;
  readonly list: (prefix: string, limit?: number) => readonly KeyValue[];
  readonly compareAndSwap: (
    put: {
      readonly key: string;
      readonly value: string;
      readonly expectedVersion: number;
      readonly leaseId?: string | undefined;
    },
    nowMs: number,
  ) => E.Either<PlatformError, KeyValue>;
  readonly compareAndDelete: (entry: {
    readonly key: string;
    readonly expectedVersion: number;
  }) => E.Either<PlatformError, void>;
  /** Changes below a prefix after a revision, without waiting. */
  readonly changesAfter: (prefix: string, afterRevision: number) => WatchBatch;
  readonly grantLease: (ttlMs: number, nowMs: number) => Lease;
  readonly renewLease: (
    leaseId: string,
    nowMs: number,
  ) => E.Either<PlatformError, Lease>;
  readonly revokeLease: (leaseId: string) => void;
  /** Ends lapsed leases and deletes their keys. */
  readonly expireLeases: (nowMs: number) => void;
  /** Ends every lease at once, as a long pause of its holder would. */
  readonly expireAllLeases: () => void;
}

/** Options of {@link createPlatformModel}. */
export interface CreatePlatformModelOptions {
  /** Called after each change that a watch may wait for. */
  readonly onChange?: () => void;
}

interface StoredValue extends KeyValue {
  readonly leaseId: string | undefined;
}

interface HeldLease extends Lease {
  readonly expiresAtMs: number;
}

interface LoggedChange {
  readonly revision: number;
  readonly change: WatchBatch['changes'][number];
}

/** Changes kept for watches; a watch from before them gets all values. */
const KEPT_CHANGES = 10_000;

/**
 * Creates an in-memory key-value store with leases and a log of changes.
 *
 * The version of a key is the store revision of its last write, so a key that
 * was deleted and created again never has an old version.
 *
 * @param options - What hears of changes.
 * @returns The store, empty.
 */
export function createPlatformModel(
  options: CreatePlatformModelOptions = {},
): PlatformModel {
  const values = new Map<string, StoredValue>();
  const leases = new Map<string, HeldLease>();
  let log: LoggedChange[] = [];
  let revision = 0;
  let grantedLeases = 0;

  function logChange(change: LoggedChange['change']): void {
    log.push({ revision, change });
    if (log.length > 2 * KEPT_CHANGES) log = log.slice(-KEPT_CHANGES);
    options.onChange?.();
  }

  function remove(key: string): void {
    values.delete(key);
    revision += 1;
    logChange({ type: 'delete', key });
  }

  function endLease(leaseId: string): void {
    if (!leases.delete(leaseId)) return;
    [...values.values()]
      .filter((value) => value.leaseId === leaseId)
      .forEach((value) => {
        remove(value.key);
      });
  }

  function expireLeases(nowMs: number): void {
    [...leases.values()]
      .filter((lease) => lease.expiresAtMs <= nowMs)
      .forEach((lease) => {
        endLease(lease.leaseId);
      });
  }

  function conflict(key: string): E.Either<PlatformError, never> {
    const current = values.get(key);
    return E.left({
      type: 'conflict',
      current: current && toKeyValue(current),
    });
  }

  return {
    get: (key) => {
      const value = values.get(key);
      return value && toKeyValue(value);
    },
    list: (prefix, limit) =>
      [...values.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit)
        .map(toKeyValue),
    compareAndSwap: ({ key, value, expectedVersion, leaseId }, nowMs) => {
      expireLeases(nowMs);
      if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
        return E.left({ type: 'valueTooLarge' });
      }
      if (leaseId !== undefined && !leases.has(leaseId)) {
        return E.left({ type: 'leaseLapsed' });
      }
      if ((values.get(key)?.version ?? 0) !== expectedVersion) {
        return conflict(key);
      }
      revision += 1;
      const put = { key, value, version: revision };
      values.set(key, { ...put, leaseId });
      logChange({ type: 'put', ...put });
      return E.right(put);
    },
    compareAndDelete: ({ key, expectedVersion }) => {
      if (values.get(key)?.version !== expectedVersion) return conflict(key);
      remove(key);
      return E.right(undefined);
    },
    changesAfter: (prefix, afterRevision) => {
      const oldest = log[0]?.revision ?? revision + 1;
      const isCovered = afterRevision >= oldest - 1;
      const changes = isCovered
        ? log.filter((one) => one.revision > afterRevision).map(changeOf)
        : [...values.values()].map(toPut);
      return {
        revision,
        changes: changes.filter(({ key }) => key.startsWith(prefix)),
      };
    },
    grantLease: (ttlMs, nowMs) => {
      grantedLeases += 1;
      const lease = { leaseId: `lease-${grantedLeases}`, ttlMs };
      leases.set(lease.leaseId, { ...lease, expiresAtMs: nowMs + ttlMs });
      return lease;
    },
    renewLease: (leaseId, nowMs) => {
      expireLeases(nowMs);
      const lease = leases.get(leaseId);
      if (!lease) return E.left({ type: 'leaseLapsed' });
      leases.set(leaseId, { ...lease, expiresAtMs: nowMs + lease.ttlMs });
      return E.right({ leaseId, ttlMs: lease.ttlMs });
    },
    revokeLease: endLease,
    expireLeases,
    expireAllLeases: () => {
      expireLeases(Infinity);
    },
  };
}

function toKeyValue({ key, value, version }: StoredValue): KeyValue {
  return { key, value, version };
}

function toPut(value: StoredValue): LoggedChange['change'] {
  return { type: 'put', ...toKeyValue(value) };
}

function changeOf({ change }: LoggedChange): LoggedChange['change'] {
  return change;
}
