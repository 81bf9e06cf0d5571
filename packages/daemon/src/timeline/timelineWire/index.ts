import type {
  ReadTimelineRequest,
  TimelineRecord as WireRecord,
} from '@endivegate/contracts/peers';
import type { TimelineFilter, TimelineRecord } from '@endivegate/core';
import { z } from 'zod';

const descriptionSchema = z.object({
  type: z.string(),
  requestId: z.string().optional(),
  workspace: z.string().optional(),
  targetId: z.string().optional(),
  detail: z.record(z.string(), z.unknown()).optional(),
});

/** Encodes a filter for the wire; empty values stand for absent fields. */
export function toWireFilter(filter: TimelineFilter): ReadTimelineRequest {
  return {
    requestId: filter.requestId ?? '',
    workspace: filter.workspace ?? '',
    targetId: filter.targetId ?? '',
    sinceWallMs: Math.max(0, Math.floor(filter.sinceWallMs ?? 0)),
    limit: filter.limit ?? 0,
  };
}

/** Decodes a filter received over the wire. */
export function fromWireFilter(wire: ReadTimelineRequest): TimelineFilter {
  return {
    requestId: wire.requestId || undefined,
    workspace: wire.workspace || undefined,
    targetId: wire.targetId || undefined,
    sinceWallMs: wire.sinceWallMs,
    limit: wire.limit || undefined,
  };
}

/** Encodes a record for the wire. */
export function toWireRecord(record: TimelineRecord): WireRecord {
  return {
    timestamp: { ...record.timestamp },
    entryId: record.entryId,
    event: Buffer.from(JSON.stringify(record.event)),
  };
}

/** Decodes a record received over the wire; undefined when it is malformed. */
export function fromWireRecord(wire: WireRecord): TimelineRecord | undefined {
  if (!wire.timestamp) return undefined;
  try {
    const json: unknown = JSON.parse(wire.event.toString('utf8'));
    const event = descriptionSchema.parse(json) as TimelineRecord['event'];
    return { timestamp: wire.timestamp, entryId: wire.entryId, event };
  } catch {
    return undefined;
  }
}
