import type { EntryAddress } from '@endivegate/contracts';
import { pickPerDataCentre } from '../pickPerDataCentre/index.ts';

const TABLE_WATCH_DUTY = 'table-watch';

/** Options of {@link pickTableWatchers}. */
export interface PickTableWatchersOptions {
  /** Number of watching entries in each data centre; 2 unless given. */
  readonly watchersPerDataCentre?: number;
}

const DEFAULTS: Required<PickTableWatchersOptions> = {
  watchersPerDataCentre: 2,
};

/**
 * Picks the entries in each data centre that watch the table's manifest.
 *
 * Uses rendezvous hashing over the live entries: all entries with the same
 * view of the membership pick the same watchers, and one entry joining or
 * leaving reassigns at most one watch.
 *
 * @param live - Live entries.
 * @param options - Number of watchers.
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
  return pickPerDataCentre(TABLE_WATCH_DUTY, live, {
    count: watchersPerDataCentre,
  });
}
