import type { EventDescription } from '../describeEvent/index.ts';
import type { HybridTimestamp } from '../hybridClock/index.ts';

/** An event in the time line of the fleet. */
export interface TimelineRecord {
  readonly timestamp: HybridTimestamp;
  readonly entryId: string;
  readonly event: EventDescription;
}

/** Which records to return; absent fields match all. */
export interface TimelineFilter {
  readonly requestId?: string | undefined;
  readonly workspace?: string | undefined;
  readonly targetId?: string | undefined;
  readonly sinceWallMs?: number | undefined;
  /** Largest number of records, the latest ones. */
  readonly limit?: number | undefined;
}

/** Largest number of records when a filter names none. */
export const DEFAULT_TIMELINE_LIMIT = 1_000;

/**
 * Selects the records of one entry that match a filter.
 *
 * A request belongs to a workspace or target when any of its records names
 * it; then all its records match.
 *
 * @param records - Records in clock order.
 * @param filter - What to select.
 * @returns The matching records, the latest ones up to the limit.
 *
 * @example
 * matchTimeline(records, { workspace: 'acme', limit: 100 });
 */
export function matchTimeline(
  records: readonly TimelineRecord[],
  filter: TimelineFilter,
): readonly TimelineRecord[] {
  const { requestId, workspace, targetId, sinceWallMs = 0 } = filter;
  const ofWorkspace = requestsWhere(records, 'workspace', workspace);
  const ofTarget = requestsWhere(records, 'targetId', targetId);
  const matching = records.filter(
    ({ timestamp, event }) =>
      timestamp.wallMs >= sinceWallMs &&
      (requestId === undefined || event.requestId === requestId) &&
      (workspace === undefined ||
        event.workspace === workspace ||
        ofWorkspace.has(event.requestId)) &&
      (targetId === undefined ||
        event.targetId === targetId ||
        ofTarget.has(event.requestId)),
  );
  return matching.slice(-(filter.limit ?? DEFAULT_TIMELINE_LIMIT));
}

function requestsWhere(
  records: readonly TimelineRecord[],
  field: 'workspace' | 'targetId',
  value: string | undefined,
): ReadonlySet<string | undefined> {
  if (value === undefined) return new Set();
  return new Set(
    records
      .filter(({ event }) => event.requestId && event[field] === value)
      .map(({ event }) => event.requestId),
  );
}
