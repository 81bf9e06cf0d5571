import { compareTimestamps } from '../compareTimestamps/index.ts';
import {
  DEFAULT_TIMELINE_LIMIT,
  type TimelineRecord,
} from '../matchTimeline/index.ts';

/** An entry whose records are missing from a merged timeline. */
export interface TimelineGap {
  readonly entryId: string;
  readonly reason: 'dead' | 'suspected' | 'unreachable';
}

/** Records of one entry, or the reason why they are missing. */
export type EntryTimeline =
  | {
      readonly type: 'records';
      readonly records: readonly TimelineRecord[];
    }
  | ({ readonly type: 'gap' } & TimelineGap);

/** Timeline of several entries. */
export interface MergedTimeline {
  readonly records: readonly TimelineRecord[];
  /** Entries whose records could not be read. */
  readonly gaps: readonly TimelineGap[];
}

/**
 * Merges the timelines of several entries in hybrid clock order.
 *
 * @param timelines - One item per entry.
 * @param limit - Maximum number of records; the latest ones are kept.
 * @returns The records in order, and the entries whose records are missing.
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
