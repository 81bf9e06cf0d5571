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

/** Keys of announced entries begin so; their values are peers' addresses. */
export const ENTRIES_PREFIX = 'endivegate/entries/';

/** An entry that is gone is listed for this long at most. */
const LEASE_MS = 60_000;

/** A third of the lease, so that two renewals may fail. */
const RENEW_MS = 20_000;

const RETRY_MS = 1000;

/**
 * Announces this entry in the store, where all entries see who is there.
 *
 * Entries hear of each other from each other; the store is what they meet
 * through when the addresses in their settings are stale.
 *
 * @param options - The store and this entry.
 * @returns A function that stops announcing.
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
      await sleep(isDone ? RENEW_MS : RETRY_MS);
    }
  }

  async function announce(): Promise<boolean> {
    if (leaseId !== undefined) {
      const renewed = await store.renewLease(leaseId)();
      if (E.isRight(renewed)) return true;
      if (renewed.left.type === 'leaseGone') leaseId = undefined;
      else return told('renew', renewed);
    }
    const granted = await store.grantLease(LEASE_MS)();
    if (E.isLeft(granted)) return told('grant', granted);
    const put = await store.put({
      key: `${ENTRIES_PREFIX}${options.name}`,
      value: Buffer.from(options.peerAddress),
      leaseId: granted.right,
    })();
    if (E.isLeft(put)) return told('put', put);
    leaseId = granted.right;
    return true;
  }

  function told(
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
