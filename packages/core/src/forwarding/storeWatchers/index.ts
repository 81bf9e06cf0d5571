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

/** Time in which others notice that all watchers lost the store and have taken
 * over: a beat, the random delay of a takeover, and the first answer. */
export const TAKEOVER_MS = 1000;

/** Groups up to this size do not share watches: every entry has its own. */
const MAX_OWN_WATCHES = 16;

/** Watchers of a group, so that the loss of one delays no change. */
const WATCHERS = 2;

/** Probes of the store by all entries that are not needed as watchers. */
const PROBES_PER_S = 10;

const MS_PER_S = 1000;

/** Whether the entries of a group rely on each other to watch the store. */
export function sharesWatches(groupSize: number): boolean {
  return groupSize > MAX_OWN_WATCHES;
}

/** A watcher that still follows the store. */
export function isSoundWatcher(beat: WatcherBeat, nowMs: number): boolean {
  const silenceMs = nowMs - beat.heardAtMs;
  return silenceMs < BEAT_TIMEOUT_MS && beat.overdueMs < MAX_OVERDUE_MS;
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
