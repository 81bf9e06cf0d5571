import { compareTimestamps } from '../compareTimestamps/index.ts';
import {
  DEFAULT_TIMELINE_LIMIT,
  type TimelineRecord,
} from '../matchTimeline/index.ts';

/** An entry whose records are missing. */
export interface TimelineGap {
  readonly entryId: string;
  readonly reason: 'dead' | 'suspected' | 'unreachable';
}

/** What one entry contributes. */
export type EntryTimeline =
  | {
      readonly type: 'records';
      readonly records: readonly TimelineRecord[];
    }
  | ({ readonly type: 'gap' } & TimelineGap);

/** The time line over several entries. */
export interface MergedTimeline {
  readonly records: readonly TimelineRecord[];
  /** Entries that took part but could not be read. */
  readonly gaps: readonly TimelineGap[];
}

/**
 * Merges the time lines of several entries in clock order.
 *
 * @param timelines - One item an entry, records in clock order.
 * @param limit - Largest number of records, the latest ones.
 * @returns All records in order, and the entries that are missing.
 *
 * @example
 * mergeTimelines([{ type: 'records', records }, { type: 'gap', entryId, reason }]);
 */
export function mergeTimelines(
  timelines: readonly EntryTimeline[],
  limit: number = DEFAULT_TIMELINE_LIMIT,
): MergedTimeline {
  const records = timelines
    .flatMap((timeline) =>
      timeline.type === 'records' ? timeline.records : [],
    )
    .toSorted(
      (a, b) =>
        compareTimestamps(a.timestamp, b.timestamp) ||
        a.entryId.localeCompare(b.entryId),
    );
  return {
    records: records.slice(-limit),
    gaps: timelines.flatMap((timeline) =>
      timeline.type === 'gap'
        ? [{ entryId: timeline.entryId, reason: timeline.reason }]
        : [],
    ),
  };
}
