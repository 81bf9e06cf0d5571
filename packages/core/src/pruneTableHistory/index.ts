import type { TableVersion } from '@endivegate/contracts';

/** Options of {@link pruneTableHistory}. */
export interface PruneTableHistoryOptions {
  /** Numbers that are kept whatever their age. */
  readonly keptNumbers?: number;
  /** Age up to which every number is kept. */
  readonly keptMs?: number;
  /** Largest number of kept numbers, whatever their age. */
  readonly maxNumbers?: number;
}

const DEFAULTS: Required<PruneTableHistoryOptions> = {
  keptNumbers: 50,
  keptMs: 3_600_000,
  maxNumbers: 400,
};

/**
 * Drops the oldest numbers from the table's history.
 *
 * A number is kept by age as well as by count, so that a slow reader finds
 * the chunks of the number it began to read.
 *
 * @param history - Accepted numbers, oldest first.
 * @param nowUnixMs - Time of the edit.
 * @param options - What is kept.
 * @returns The kept numbers, oldest first.
 *
 * @example
 * pruneTableHistory([...history, version], version.atUnixMs);
 */
export function pruneTableHistory(
  history: readonly TableVersion[],
  nowUnixMs: number,
  options: PruneTableHistoryOptions = {},
): readonly TableVersion[] {
  const { keptNumbers, keptMs, maxNumbers } = { ...DEFAULTS, ...options };
  return history.slice(-maxNumbers).filter((version, index, recent) => {
    const isRecent = index >= recent.length - keptNumbers;
    return isRecent || version.atUnixMs >= nowUnixMs - keptMs;
  });
}
