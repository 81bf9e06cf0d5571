import * as E from 'fp-ts/lib/Either.js';
import type { EventLog } from '../createEventLog/index.ts';
import type {
  StoreChange,
  StoredItem,
  StoreError,
  StorePort,
} from '../storePort/index.ts';
import { sleepFor } from '../sleepFor/index.ts';

/** Options of {@link followPrefix}. */
export interface FollowPrefixOptions {
  readonly store: StorePort;
  readonly log: EventLog;
  readonly prefix: string;
  /** How long one watch waits at most; entries draw the half up to it, so that
   * their watches, which a change ends together, do not fall silent together. */
  readonly waitMs: number;
  /** Pause after a watch that brought changes, which gathers the next ones. */
  readonly batchDelayMs: number;
  readonly onList: (items: readonly StoredItem[]) => void;
  readonly onChange: (change: StoreChange) => void;
  /** Called when the store has not answered for {@link LOST_AFTER_MS}. */
  readonly onLost: () => void;
  /** Monotonic time in ms. */
  readonly now: () => number;
  readonly sleep?: (ms: number) => Promise<void>;
  readonly random?: () => number;
}

/** Shorter than the silence after which the platform drops an entry, longer
 * than one call that was lost or refused. */
export const LOST_AFTER_MS = 800;

const FIRST_BACKOFF_MS = 60;

/** Short enough that news arrive in time once the store is back. */
const LONGEST_BACKOFF_MS = 600;

/**
 * Follows the items below a prefix: lists them, then watches for changes, and
 * lists them again whenever a watch fails or its history is gone.
 *
 * @param options - The store, what to follow and who is told.
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
  let startedAtMs = now();

  async function follow(): Promise<void> {
    while (!isStopped()) {
      const listed = await store.list(prefix)();
      if (isStopped()) return;
      if (E.isLeft(listed)) {
        await failed('list', listed.left);
        continue;
      }
      succeeded();
      options.onList(listed.right.items);
      await watchFrom(listed.right.revision);
    }
  }

  /** Returns when the items have to be listed again. */
  async function watchFrom(firstRevision: number): Promise<void> {
    let afterRevision = firstRevision;
    while (!isStopped()) {
      const waitMs = Math.round(options.waitMs * (1 + random()) * 0.5);
      const watched = await store.watch({ prefix, afterRevision, waitMs })();
      if (isStopped()) return;
      if (E.isLeft(watched)) {
        await failed('watch', watched.left);
        return;
      }
      succeeded();
      afterRevision = watched.right.revision;
      watched.right.changes.forEach(options.onChange);
      if (watched.right.changes.length > 0) await sleep(options.batchDelayMs);
    }
  }

  function succeeded(): void {
    if (isLost) {
      log.info('store.regained', {
        prefix,
        afterMs: Math.round(now() - startedAtMs),
      });
    }
    failures = 0;
    failingSinceMs = undefined;
    isLost = false;
  }

  async function failed(call: string, error: StoreError): Promise<void> {
    failures += 1;
    failingSinceMs ??= now();
    log.warn('store.callFailed', {
      prefix,
      call,
      failures,
      ...describeStoreError(error),
    });
    if (!isLost && now() - failingSinceMs >= LOST_AFTER_MS) {
      isLost = true;
      startedAtMs = failingSinceMs;
      log.warn('store.lost', { prefix });
      options.onLost();
    }
    if (error.type === 'historyGone') return;
    const ceilingMs = Math.min(
      FIRST_BACKOFF_MS * 2 ** (failures - 1),
      LONGEST_BACKOFF_MS,
    );
    await sleep(ceilingMs * (1 + random()) * 0.5);
  }

  follow().catch((error: unknown) => {
    log.warn('store.followFailed', { prefix, reason: String(error) });
  });
  return () => {
    stopped.abort();
  };
}

/**
 * Describes an error of the store for a log line.
 *
 * @param error - The error.
 * @returns Fields of the line.
 *
 * @example
 * describeStoreError({ type: 'refused', status: 429 });
 */
export function describeStoreError(
  error: StoreError,
): Readonly<Record<string, string | number>> {
  return { ...error, type: error.type };
}
