import type { EventDescription } from '../describeEvent/index.ts';
import type { HybridTimestamp } from '../hybridClock/index.ts';

/** An event in the timeline of the fleet. */
export interface TimelineRecord {
  readonly timestamp: HybridTimestamp;
  readonly entryId: string;
  readonly event: EventDescription;
}

/** Criteria for records; absent fields match all. */
export interface TimelineFilter {
  readonly requestId?: string | undefined;
  readonly workspace?: string | undefined;
  readonly targetId?: string | undefined;
  readonly sinceWallMs?: number | undefined;
  /** Maximum number of records; the latest ones are returned. */
  readonly limit?: number | undefined;
}

/** Maximum number of records if a filter sets none. */
export const DEFAULT_TIMELINE_LIMIT = 1_000;

/**
 * Selects the records of one entry that match a filter.
 *
 * If any record of a request contains the wanted workspace or target, all
 * records of that request match that criterion.
 *
 * @param records - Records of the entry in clock order.
 * @param filter - Criteria and maximum number of records.
 * @returns The matching records; the latest ones if they exceed the limit.
 *
 * @example
 * matchTimeline(records, { workspace: 'acme', limit: 100 });
 */
export function matchTimeline(
  records: readonly TimelineRecord[],
  filter: TimelineFilter,
): readonly TimelineRecord[] {
  const { requestId, workspace, targetId, sinceWallMs = 0 } = filter;
  const requestIdsOfWorkspace = requestIdsWhere(
    records,
    'workspace',
    workspace,
  );
  const requestIdsOfTarget = requestIdsWhere(records, 'targetId', targetId);
  const matching = records.filter(
    ({ timestamp, event }) =>
      timestamp.wallMs >= sinceWallMs &&
      (requestId === undefined || event.requestId === requestId) &&
      (workspace === undefined ||
        event.workspace === workspace ||
        requestIdsOfWorkspace.has(event.requestId)) &&
      (targetId === undefined ||
        event.targetId === targetId ||
        requestIdsOfTarget.has(event.requestId)),
  );
  return matching.slice(-(filter.limit ?? DEFAULT_TIMELINE_LIMIT));
}

function requestIdsWhere(
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
