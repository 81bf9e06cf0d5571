import {
  describeEvent,
  matchTimeline,
  mergeHybridClock,
  tickHybridClock,
  ZERO_TIMESTAMP,
  type HybridTimestamp,
  type RootEvent,
  type TimelineFilter,
  type TimelineRecord,
} from '@endivegate/core';

/** Options of {@link createTimeline}. */
export interface CreateTimelineOptions {
  readonly entryId: string;
  /** Bound on the kept records, in bytes of their JSON form. */
  readonly maxBytes?: number;
  /** Wall clock; it may be set back. */
  readonly wallMs?: () => number;
}

/** The events that an entry keeps, and the hybrid clock that stamps them. */
export interface Timeline {
  /** Keeps an event, in place of the oldest ones when full. */
  readonly record: (event: RootEvent) => void;
  readonly read: (filter: TimelineFilter) => readonly TimelineRecord[];
  /** Timestamp for a message to another entry. */
  readonly now: () => HybridTimestamp;
  /** Takes note of the timestamp of a message from another entry. */
  readonly observe: (remote: HybridTimestamp) => void;
  readonly usedBytes: () => number;
}

/** Default bound on the kept records. */
const DEFAULT_MAX_BYTES = 4 * 1024 * 1024;

/** Objects that a record takes besides its JSON text. */
const RECORD_OVERHEAD_BYTES = 100;

interface StoredRecord {
  readonly timestamp: HybridTimestamp;
  readonly json: string;
}

/**
 * Creates an empty time line.
 *
 * Records are kept as JSON text, so that their size is known and small.
 *
 * @param options - Own entry id, bound and clock.
 * @returns The time line.
 *
 * @example
 * const timeline = createTimeline({ entryId: 'e1' });
 * createRuntime({ handlers, onEvent: timeline.record });
 */
export function createTimeline(options: CreateTimelineOptions): Timeline {
  const { entryId, maxBytes = DEFAULT_MAX_BYTES } = options;
  const wallMs = options.wallMs ?? Date.now;
  const stored = createByteRing(maxBytes);
  let clock = ZERO_TIMESTAMP;

  const now = (): HybridTimestamp => {
    clock = tickHybridClock(clock, wallMs());
    return clock;
  };

  return {
    record: (event) => {
      const description = describeEvent(event);
      if (!description) return;
      stored.push({ timestamp: now(), json: JSON.stringify(description) });
    },
    read: (filter) =>
      matchTimeline(
        stored.toArray().map(({ timestamp, json }) => ({
          timestamp,
          entryId,
          event: JSON.parse(json) as TimelineRecord['event'],
        })),
        filter,
      ),
    now,
    observe: (remote) => {
      clock = mergeHybridClock(clock, remote, wallMs());
    },
    usedBytes: stored.usedBytes,
  };
}

/** A queue that drops its oldest records beyond a number of bytes. */
function createByteRing(maxBytes: number) {
  let records: StoredRecord[] = [];
  let first = 0;
  let usedBytes = 0;

  function dropOldest(): void {
    const oldest = records[first];
    if (!oldest) return;
    usedBytes -= sizeOf(oldest);
    first += 1;
  }

  return {
    push: (record: StoredRecord): void => {
      records.push(record);
      usedBytes += sizeOf(record);
      while (usedBytes > maxBytes) dropOldest();
      // Frees the dropped records now and then, at constant cost a record.
      if (first <= records.length / 2) return;
      records = records.slice(first);
      first = 0;
    },
    toArray: (): readonly StoredRecord[] => records.slice(first),
    usedBytes: () => usedBytes,
  };
}

function sizeOf(record: StoredRecord): number {
  return RECORD_OVERHEAD_BYTES + record.json.length;
}
