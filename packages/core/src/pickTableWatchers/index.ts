import type { EntryAddress } from '@endivegate/contracts';
import { pickPerDataCentre } from '../pickPerDataCentre/index.ts';

const WATCH_KEY = 'table-watch';

/** Options of {@link pickTableWatchers}. */
export interface PickTableWatchersOptions {
  /** Entries of each data centre that hold a watch on the store. */
  readonly watchersPerDataCentre?: number;
}

const DEFAULTS: Required<PickTableWatchersOptions> = {
  watchersPerDataCentre: 2,
};

/**
 * Picks the entries that watch the table's manifest, a few per data centre.
 *
 * Rendezvous hashing over the live entries: every entry that knows the same
 * members picks the same watchers, and a member's coming or going moves at
 * most one watch.
 *
 * @param live - Live entries.
 * @param options - How many to pick.
 * @returns Ids of the watching entries.
 *
 * @example
 * pickTableWatchers(live).includes(selfId);
 */
export function pickTableWatchers(
  live: readonly EntryAddress[],
  options: PickTableWatchersOptions = {},
): readonly string[] {
  const { watchersPerDataCentre } = { ...DEFAULTS, ...options };
  return pickPerDataCentre(WATCH_KEY, live, { count: watchersPerDataCentre });
}
