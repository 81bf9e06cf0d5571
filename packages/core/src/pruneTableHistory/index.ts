import type { TableVersion } from '@endivegate/contracts';

/** Options of {@link pruneTableHistory}. */
export interface PruneTableHistoryOptions {
  /** Number of latest versions that are kept regardless of their age. */
  readonly minVersions?: number;
  /** Age up to which every version is kept, within `maxVersions`. */
  readonly retentionMs?: number;
  /** Maximum number of versions kept, regardless of their age. */
  readonly maxVersions?: number;
}

const DEFAULTS: Required<PruneTableHistoryOptions> = {
  minVersions: 50,
  retentionMs: 3_600_000,
  maxVersions: 400,
};

/**
 * Drops the oldest versions from the table's history.
 *
 * Versions are kept by age as well as by count, so that the chunks of the
 * version that a slow reader started to read still exist.
 *
 * @param history - Accepted versions, oldest first.
 * @param nowUnixMs - Time of the edit.
 * @param options - Limits by count and age.
 * @returns The kept versions, oldest first.
 *
 * @example
 * pruneTableHistory([...history, version], version.atUnixMs);
 */
export function pruneTableHistory(
  history: readonly TableVersion[],
  nowUnixMs: number,
  options: PruneTableHistoryOptions = {},
): readonly TableVersion[] {
  const { minVersions, retentionMs, maxVersions } = { ...DEFAULTS, ...options };
  return history.slice(-maxVersions).filter((version, index, recent) => {
    const isRecent = index >= recent.length - minVersions;
    return isRecent || version.atUnixMs >= nowUnixMs - retentionMs;
  });
}
