import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import { describeStoreError } from '../followPrefix/index.ts';
import type { Lease, StoreError, StorePort } from '../storePort/index.ts';
import { sleepFor } from '../sleepFor/index.ts';

/** Options of {@link announceEntry}. */
export interface AnnounceEntryOptions {
  readonly store: StorePort;
  readonly log: EventLog;
  readonly name: string;
  /** Address at which peers reach this entry. */
  readonly peerAddress: string;
  /**
   * Whether this entry registers. In a large fleet some do, and the others are
   * heard of through them.
   */
  readonly isNeeded: () => boolean;
  readonly sleep?: (ms: number) => Promise<void>;
  /** Returns a number uniform in [0, 1), to spread writes over time. */
  readonly random?: () => number;
}

/** A registration that is kept up to date. */
export interface EntryAnnouncement {
  /** Registers the entry again soon, because the store lost its newest writes. */
  readonly storeRestored: () => void;
  readonly stop: () => void;
}

/** Key prefix of announced entries; the values are their peer addresses. */
export const ENTRIES_PREFIX = 'endivegate/entries/';

/** An entry that is gone stays listed for at most this long. */
const LEASE_TTL_MS = 60_000;

/** A third of the lease, so that it survives two failed renewals. */
const RENEW_INTERVAL_MS = 20_000;

const RETRY_INTERVAL_MS = 1000;

/** Entries usually hear of each other through the seeds within this time, and most
 * of a large fleet need not register then. */
const START_DELAY_MS = 3000;

/** All entries register again after a restore; they spread it over this time. */
const RESTORE_SPREAD_MS = 1000;

/**
 * Registers this entry in the store, where other entries can find it.
 *
 * Entries usually discover each other through peers. The store is the fallback
 * for when the seed addresses in their settings are stale. A lease is used only
 * in the era of its grant: after a restore its id may belong to someone else.
 *
 * @param options - The store and this entry.
 * @returns The registration.
 *
 * @example
 * announceEntry({ store, log, name, peerAddress }).stop();
 */
export function announceEntry(
  options: AnnounceEntryOptions,
): EntryAnnouncement {
  const { store, log, random = Math.random } = options;
  const sleep = options.sleep ?? sleepFor;
  let isStopped = false;
  let lease: Lease | undefined;
  let wake: () => void = () => undefined;

  async function run(): Promise<void> {
    await sleep(START_DELAY_MS);
    while (!isStopped) {
      if (lease === undefined && !options.isNeeded()) {
        await sleep(RETRY_INTERVAL_MS);
        continue;
      }
      const isDone = await announce();
      const restored = new Promise<void>((resolve) => {
        wake = resolve;
      });
      await Promise.race([
        sleep(isDone ? RENEW_INTERVAL_MS : RETRY_INTERVAL_MS),
        restored,
      ]);
    }
  }

  async function announce(): Promise<boolean> {
    if (lease !== undefined) {
      const renewed = await store.renewLease(lease.leaseId)();
      if (E.isLeft(renewed) && renewed.left.type !== 'leaseGone') {
        return logFailure('renew', renewed.left);
      }
      if (E.isRight(renewed) && renewed.right === lease.era) return true;
      lease = undefined;
    }
    const granted = await store.grantLease(LEASE_TTL_MS)();
    if (E.isLeft(granted)) return logFailure('grant', granted.left);
    const { leaseId, era } = granted.right;
    const put = await store.put({
      key: `${ENTRIES_PREFIX}${options.name}`,
      value: Buffer.from(options.peerAddress),
      leaseId,
    })();
    if (E.isLeft(put)) return logFailure('put', put.left);
    if (put.right !== era) return logFailure('put', { type: 'restored' });
    lease = granted.right;
    return true;
  }

  function logFailure(call: string, error: StoreError): boolean {
    log.warn('entries.storeCallFailed', { call, ...describeStoreError(error) });
    return false;
  }

  run().catch((error: unknown) => {
    log.warn('entries.announceFailed', { reason: String(error) });
  });
  return {
    storeRestored() {
      if (lease === undefined) return;
      lease = undefined;
      void sleep(RESTORE_SPREAD_MS * random()).then(() => {
        wake();
      });
    },
    stop() {
      isStopped = true;
    },
  };
}
