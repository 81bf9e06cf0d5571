import type { ExactInteger } from '@endivegate/contracts/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import type {
  StoreChange,
  StoredItem,
  StoredItems,
  StorePosition,
  StoreError,
  StorePort,
} from '../storePort/index.ts';
import { sleepFor } from '../sleepFor/index.ts';
import { firstAnswer } from './_lib/firstAnswer/index.ts';

/** Options of {@link followPrefix}. */
export interface FollowPrefixOptions {
  readonly store: StorePort;
  readonly log: EventLog;
  readonly prefix: string;
  /**
   * Maximum wait of a watch. Each watch waits a random time between half of it
   * and all of it: a change ends the watches of all entries together, and they
   * should not time out together as well.
   */
  readonly waitMs: () => number;
  /**
   * Pause after a watch that returned changes, so that the next one returns
   * several at once.
   */
  readonly batchDelayMs: () => number;
  /** Position to watch from without listing first; undefined to list. */
  readonly from?: StorePosition | undefined;
  readonly onList: (items: readonly StoredItem[], at: StorePosition) => void;
  /** Called with each change and the era of the store. */
  readonly onChange: (change: StoreChange, era: ExactInteger) => void;
  /** Called after the changes of a watch were applied, also when there are none. */
  readonly onWatched?: (
    from: StorePosition,
    to: StorePosition,
    changes: readonly StoreChange[],
  ) => void;
  /** Called when a call failed. */
  readonly onFailed?: () => void;
  /** Called when calls to the store have failed for {@link LOST_AFTER_MS}. */
  readonly onLost: () => void;
  /**
   * Called before `onList` when the store was restored from an older copy since
   * the last list, with its new era.
   */
  readonly onRestored: (era: ExactInteger) => void;
  /** Monotonic time in ms. */
  readonly now: () => number;
  readonly sleep?: (ms: number) => Promise<void>;
  readonly random?: () => number;
}

/**
 * Less than the silence after which the platform removes an entry, but more
 * than one lost or refused call takes.
 */
export const LOST_AFTER_MS = 800;

/**
 * The store also counts as lost once lists have not been answered for this long. They are
 * sent on new connections, so this tells an outage, or a cut, from open connections that
 * fell silent, also on a slow machine.
 */
const LOST_AFTER_LIST_MS = 350;

const MIN_BACKOFF_MS = 60;

/** Longest pause after the store refused a call, or restored a copy. */
const MAX_BACKOFF_MS = 600;

/** A list that follows a failure is repeated at this interval until one is answered. It is
 * part of the time within which a removal takes effect after a cut. */
export const RELIST_INTERVAL_MS = 250;

type ListResult = E.Either<StoreError, StoredItems>;

/**
 * Follows the items with a key prefix: lists them, watches for changes, and
 * lists them again whenever a watch fails, its revision is not available, or the
 * store was restored from an older copy. Answers of an earlier era than the
 * newest known one are dropped, since they may arrive late.
 *
 * @param options - The store, the prefix and the callbacks.
 * @returns A function that stops following.
 *
 * @example
 * const stop = followPrefix({ store, prefix: 'targets/', ...handlers });
 */
export function followPrefix(options: FollowPrefixOptions): () => void {
  const { store, log, prefix, now, random = Math.random } = options;
  const sleep = options.sleep ?? sleepFor;
  const stopped = new AbortController();
  const isStopped = (): boolean => stopped.signal.aborted;
  let failures = 0;
  let failingSinceMs: number | undefined;
  let isLost = false;
  let lostSinceMs = now();
  let knownEra: ExactInteger | undefined = options.from?.era;
  let startAt = options.from;

  async function follow(): Promise<void> {
    if (startAt !== undefined) {
      const { revision } = startAt;
      startAt = undefined;
      await watchFrom(revision);
    }
    while (!isStopped()) {
      const listed = await list();
      if (listed === undefined || isStopped()) return;
      if (E.isLeft(listed)) {
        await handleFailure('list', listed.left);
        continue;
      }
      if (!(await acceptEra(listed.right.era))) continue;
      recordSuccess();
      const { items, revision, era } = listed.right;
      options.onList(items, { era, revision });
      await watchFrom(revision);
    }
  }

  /** Lists; after a failure, with further calls before an unanswered one times out. */
  async function list(): Promise<ListResult | undefined> {
    if (failures === 0) return store.list(prefix)();
    return firstAnswer(store.list(prefix), {
      intervalMs: RELIST_INTERVAL_MS,
      sleep,
      isStopped,
      overdueMs: LOST_AFTER_LIST_MS,
      onOverdue: noteLost,
      onUnanswered(error) {
        noteFailure('list', error);
      },
    });
  }

  /** Whether a list is of the newest known era, or of a newer one. */
  async function acceptEra(era: ExactInteger): Promise<boolean> {
    if (knownEra !== undefined && era < knownEra) {
      const reason = `list of era ${era} after era ${knownEra}`;
      await handleFailure('list', { type: 'unanswered', reason });
      return false;
    }
    if (knownEra !== undefined && era > knownEra) {
      log.warn('store.restored', { prefix, era, eraBefore: knownEra });
      options.onRestored(era);
    }
    knownEra = era;
    return true;
  }

  /** Watches until the items have to be listed again. */
  async function watchFrom(firstRevision: ExactInteger): Promise<void> {
    let afterRevision = firstRevision;
    while (!isStopped()) {
      const waitMs = Math.round(options.waitMs() * (1 + random()) * 0.5);
      const watched = await store.watch({ prefix, afterRevision, waitMs })();
      if (isStopped()) return;
      if (E.isLeft(watched)) {
        await handleFailure('watch', watched.left);
        return;
      }
      // The changes are listed instead: revisions of this era may be others.
      if (watched.right.era !== knownEra) return;
      recordSuccess();
      const { era, revision, changes } = watched.right;
      const from = { era, revision: afterRevision };
      afterRevision = revision;
      changes.forEach((change) => {
        options.onChange(change, era);
      });
      options.onWatched?.(from, { era, revision }, changes);
      if (watched.right.changes.length > 0) await sleep(options.batchDelayMs());
    }
  }

  function recordSuccess(): void {
    if (isLost) {
      log.info('store.regained', {
        prefix,
        afterMs: Math.round(now() - lostSinceMs),
      });
    }
    failures = 0;
    failingSinceMs = undefined;
    isLost = false;
  }

  function noteFailure(call: string, error: StoreError): void {
    failures += 1;
    options.onFailed?.();
    failingSinceMs ??= now();
    log.warn('store.callFailed', {
      prefix,
      call,
      failures,
      ...describeStoreError(error),
    });
    if (now() - failingSinceMs >= LOST_AFTER_MS) noteLost();
  }

  function noteLost(): void {
    if (isLost) return;
    isLost = true;
    lostSinceMs = failingSinceMs ?? now();
    log.warn('store.lost', { prefix });
    options.onLost();
  }

  async function handleFailure(call: string, error: StoreError): Promise<void> {
    noteFailure(call, error);
    if (error.type === 'historyGone' || error.type === 'restored') return;
    const maxDelayMs = Math.min(
      MIN_BACKOFF_MS * 2 ** (failures - 1),
      MAX_BACKOFF_MS,
    );
    await sleep(maxDelayMs * (1 + random()) * 0.5);
  }

  /** An error of a callback does not end the following: the items are listed again. */
  async function followOn(): Promise<void> {
    while (!isStopped()) {
      try {
        await follow();
      } catch (error) {
        log.warn('store.followFailed', { prefix, reason: String(error) });
        await sleep(MAX_BACKOFF_MS * (1 + random()) * 0.5);
      }
    }
  }

  void followOn();
  return () => {
    stopped.abort();
  };
}

/**
 * Converts an error of the store to log fields.
 *
 * @param error - The error.
 * @returns The log fields.
 *
 * @example
 * describeStoreError({ type: 'refused', status: 429 });
 */
export function describeStoreError(
  error: StoreError,
): Readonly<Record<string, string | number>> {
  return { ...error, type: error.type };
}
