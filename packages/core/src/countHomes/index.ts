import { MIN_HOMES } from '../pickHomes/index.ts';

/** Options of {@link countHomes}. */
export interface CountHomesOptions {
  /** Factor on the number of entries that the load corresponds to; 2 by default. */
  readonly headroom?: number;
}

/**
 * Returns the number of homes that a workspace should have.
 *
 * @param share - The workspace's share of the total load, 0 to 1.
 * @param entryCount - Number of live entries in the region.
 * @param options - Headroom factor on the share.
 * @returns At least {@link MIN_HOMES}, but no more than there are entries; 1 without
 *   entries.
 *
 * @example
 * countHomes(0.25, 8); // 4
 */
export function countHomes(
  share: number,
  entryCount: number,
  options: CountHomesOptions = {},
): number {
  const { headroom = 2 } = options;
  const wanted = Math.ceil(share * entryCount * headroom);
  return Math.min(Math.max(wanted, MIN_HOMES), Math.max(entryCount, 1));
}
