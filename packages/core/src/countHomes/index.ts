import { MIN_HOMES } from '../pickHomes/index.ts';

/** Options of {@link countHomes}. */
export interface CountHomesOptions {
  /** Homes wanted per entry's worth of load; 2 unless given. */
  readonly headroom?: number;
}

/**
 * Returns how many homes a workspace should have.
 *
 * @param share - The workspace's share of all load, 0 to 1.
 * @param entryCount - Live entries of the region.
 * @param options - Headroom above the share.
 * @returns At least two, at most all entries.
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
