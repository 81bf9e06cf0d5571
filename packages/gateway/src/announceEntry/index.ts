import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import { describeStoreError } from '../followPrefix/index.ts';
import type { StorePort } from '../storePort/index.ts';
import { sleepFor } from '../sleepFor/index.ts';

/** Options of {@link announceEntry}. */
export interface AnnounceEntryOptions {
  readonly store: StorePort;
  readonly log: EventLog;
  readonly name: string;
  /** Address at which peers reach this entry. */
  readonly peerAddress: string;
  readonly sleep?: (ms: number) => Promise<void>;
}

/** Key prefix of announced entries; the values are their peer addresses. */
export const ENTRIES_PREFIX = 'endivegate/entries/';

/** An entry that is gone stays listed for at most this long. */
const LEASE_TTL_MS = 60_000;

/** A third of the lease, so that it survives two failed renewals. */
const RENEW_INTERVAL_MS = 20_000;

const RETRY_INTERVAL_MS = 1000;

/**
 * Registers this entry in the store, where other entries can find it.
 *
 * Entries usually discover each other through peers. The store is the fallback
 * for when the seed addresses in their settings are stale.
 *
 * @param options - The store and this entry.
 * @returns A function that stops renewing the registration.
 *
 * @example
 * announceEntry({ store, log, name, peerAddress });
 */
export function announceEntry(options: AnnounceEntryOptions): () => void {
  const { store, log } = options;
  const sleep = options.sleep ?? sleepFor;
  let isStopped = false;
  let leaseId: number | undefined;

  async function run(): Promise<void> {
    while (!isStopped) {
      const isDone = await announce();
      await sleep(isDone ? RENEW_INTERVAL_MS : RETRY_INTERVAL_MS);
    }
  }

  async function announce(): Promise<boolean> {
    if (leaseId !== undefined) {
      const renewed = await store.renewLease(leaseId)();
      if (E.isRight(renewed)) return true;
      if (renewed.left.type === 'leaseGone') leaseId = undefined;
      else return logFailure('renew', renewed);
    }
    const granted = await store.grantLease(LEASE_TTL_MS)();
    if (E.isLeft(granted)) return logFailure('grant', granted);
    const put = await store.put({
      key: `${ENTRIES_PREFIX}${options.name}`,
      value: Buffer.from(options.peerAddress),
      leaseId: granted.right,
    })();
    if (E.isLeft(put)) return logFailure('put', put);
    leaseId = granted.right;
    return true;
  }

  function logFailure(
    call: string,
    result: E.Left<Parameters<typeof describeStoreError>[0]>,
  ): boolean {
    log.warn('entries.storeCallFailed', {
      call,
      ...describeStoreError(result.left),
    });
    return false;
  }

  run().catch((error: unknown) => {
    log.warn('entries.announceFailed', { reason: String(error) });
  });
  return () => {
    isStopped = true;
  };
}
