/** What an entry last told of its watch on the store. */
export interface WatcherBeat {
  readonly name: string;
  /** Capacity relative to other entries. */
  readonly weight: number;
  readonly heardAtMs: number;
  /** Time by which an answer of the store was overdue when the beat was sent. */
  readonly overdueMs: number;
}

/** What decides whether an entry watches the store. */
export interface WatchQuery {
  readonly name: string;
  readonly weight: number;
  /** Entries that share their watches, including this one. */
  readonly groupSize: number;
  readonly beats: readonly WatcherBeat[];
  readonly nowMs: number;
}

/** How often a watcher tells the others that it follows the store. */
export const BEAT_INTERVAL_MS = 500;

/** A watcher that was silent for this long counts as lost: two beats were lost and
 * one is late. */
const BEAT_TIMEOUT_MS = 1300;

/** A watcher whose answer is overdue for longer counts as lost: a retry was not
 * answered either. */
const MAX_OVERDUE_MS = 200;

/** Entries that could take over a watch begin within this time, in random order,
 * so that most hear of the first one and stay out. */
export const TAKEOVER_SPREAD_MS = 300;

/** Time for a report that an answer is overdue, and for the list of an entry that takes
 * over. */
const HANDOVER_MS = 300;

/** Time in which entries that do not watch have fetched a configuration from one that
 * does. */
const CONFIG_FETCH_MS = 400;

/** Shortest wait of a watch that is shared, however short the configured bounds are. */
const MIN_SHARED_WATCH_MS = 500;

/** Groups up to this size do not share watches: every entry has its own. */
const MAX_OWN_WATCHES = 16;

/** Watchers of a group, so that the loss of one delays no change. */
const WATCHERS = 2;

/** Probes of the store by all entries that are not needed as watchers. */
const PROBES_PER_S = 10;

const MS_PER_S = 1000;

/** Time to list the store after a watch has failed: the pause, a new connection, a
 * response on a slow path, and a process that is late. */
const RELIST_MS = 600;

/** Shortest watch of an entry's own, however short the configured bounds are. */
const MIN_OWN_WATCH_MS = 1000;

/** Whether the entries of a group rely on each other to watch the store. */
export function sharesWatches(groupSize: number): boolean {
  return groupSize > MAX_OWN_WATCHES;
}

/** Whether an answer to a watcher is so late that others take over. */
export function isOverdue({
  overdueMs,
}: Pick<WatcherBeat, 'overdueMs'>): boolean {
  return overdueMs >= MAX_OVERDUE_MS;
}

/** Times from which {@link sharedWatchMs} follows. */
export interface SharedWatchBudget {
  /** Time within which a change must take effect at all entries. */
  readonly applyMs: number;
  /** Time until a call that the store does not answer has failed. */
  readonly storeTimeoutMs: number;
}

/**
 * Returns the longest wait of a shared watch. A change that is written just after all
 * watchers lost the store takes effect at all entries in time: the wait, the failure of
 * the call, the takeover by another entry, and the fetches from that one.
 *
 * @param budget - The bound of changes and the timeout of calls.
 * @returns Time in milliseconds.
 *
 * @example
 * sharedWatchMs({ applyMs: 3000, storeTimeoutMs: 900 }); // 900
 */
export function sharedWatchMs(budget: SharedWatchBudget): number {
  const takeoverMs = MAX_OVERDUE_MS + TAKEOVER_SPREAD_MS + HANDOVER_MS;
  return Math.max(
    budget.applyMs - budget.storeTimeoutMs - takeoverMs - CONFIG_FETCH_MS,
    MIN_SHARED_WATCH_MS,
  );
}

/** Times from which {@link ownWatchMs} follows. */
export interface OwnWatchBudget {
  /** Time after a disturbance within which an entry must be up to date again. */
  readonly stableWindowMs: number;
  /** Time until a call that the store does not answer has failed. */
  readonly storeTimeoutMs: number;
}

/**
 * Returns the longest wait of a watch on which no other entry relies. An entry whose
 * connections fall silent just after it began a watch is up to date in time: the wait, the
 * failure of the call, and a list on a new connection.
 *
 * @param budget - The bound and the timeout of calls.
 * @returns Time in milliseconds.
 *
 * @example
 * ownWatchMs({ stableWindowMs: 3000, storeTimeoutMs: 900 }); // 1500
 */
export function ownWatchMs(budget: OwnWatchBudget): number {
  return Math.max(
    budget.stableWindowMs - budget.storeTimeoutMs - RELIST_MS,
    MIN_OWN_WATCH_MS,
  );
}

/** A watcher that still follows the store. */
export function isSoundWatcher(beat: WatcherBeat, nowMs: number): boolean {
  const silenceMs = nowMs - beat.heardAtMs;
  return silenceMs < BEAT_TIMEOUT_MS && !isOverdue(beat);
}

/**
 * Decides whether an entry watches the store itself. The first entries of a group
 * in a common order watch and tell the others, so that calls to the store grow
 * with the groups and not with the entries. Answers the load pattern "every client
 * polls the registry".
 *
 * Nothing is agreed on: an entry watches unless it hears enough sound watchers
 * that come before it. When entries hear different beats, too many watch for a
 * while, never too few.
 *
 * @param query - This entry and the beats that it heard.
 * @returns Whether this entry watches the store.
 *
 * @example
 * watchesStore({ name, weight, groupSize: 39, beats, nowMs });
 */
export function watchesStore(query: WatchQuery): boolean {
  if (!sharesWatches(query.groupSize)) return true;
  const before = query.beats.filter(
    (beat) => isSoundWatcher(beat, query.nowMs) && comesBefore(beat, query),
  );
  return before.length < WATCHERS;
}

/**
 * Returns the time between two tries of an entry that the store does not answer.
 * The entries of a group try one after the other, because the store may be down
 * for all of them.
 *
 * @param groupSize - Entries that share their watches.
 * @returns Time in milliseconds.
 *
 * @example
 * probeIntervalMs(39); // 3900
 */
export function probeIntervalMs(groupSize: number): number {
  return (groupSize * MS_PER_S) / PROBES_PER_S;
}

function comesBefore(
  a: Pick<WatchQuery, 'name' | 'weight'>,
  b: Pick<WatchQuery, 'name' | 'weight'>,
): boolean {
  return a.weight === b.weight ? a.name < b.name : a.weight > b.weight;
}
