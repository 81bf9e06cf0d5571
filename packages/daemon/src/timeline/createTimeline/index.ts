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
  /** Maximum size of the stored records, approximated by their JSON length. */
  readonly maxBytes?: number;
  /** Wall clock; may go backwards. */
  readonly wallMs?: () => number;
}

/** Recent events of an entry, timestamped by its hybrid logical clock. */
export interface Timeline {
  /** Stores an event; drops the oldest ones beyond the maximum size. */
  readonly record: (event: RootEvent) => void;
  readonly read: (filter: TimelineFilter) => readonly TimelineRecord[];
  /** Advances the clock and returns the timestamp for an outgoing message. */
  readonly now: () => HybridTimestamp;
  /** Merges the timestamp of a received message into the clock. */
  readonly observe: (remote: HybridTimestamp) => void;
  readonly usedBytes: () => number;
}

/** Default maximum size of the stored records. */
const DEFAULT_MAX_BYTES = 4 * 1024 * 1024;

/** Estimated memory that a record takes besides its JSON text. */
const RECORD_OVERHEAD_BYTES = 100;

interface StoredRecord {
  readonly timestamp: HybridTimestamp;
  readonly json: string;
}

/**
 * Creates an empty timeline.
 *
 * Records are stored as JSON text, so that their size is known and small.
 *
 * @param options - Entry id, maximum size and wall clock.
 * @returns The timeline.
 *
 * @example
 * const timeline = createTimeline({ entryId: 'e1' });
 * createRuntime({ handlers, onEvent: timeline.record });
 */
export function createTimeline(options: CreateTimelineOptions): Timeline {
  const { entryId, maxBytes = DEFAULT_MAX_BYTES } = options;
  const wallMs = options.wallMs ?? Date.now;
  const stored = createBoundedQueue(maxBytes);
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

/** Creates a queue that drops its oldest records beyond a maximum size. */
function createBoundedQueue(maxBytes: number) {
  let records: StoredRecord[] = [];
  let firstIndex = 0;
  let usedBytes = 0;

  function dropOldest(): void {
    const oldest = records[firstIndex];
    if (!oldest) return;
    usedBytes -= sizeOf(oldest);
    firstIndex += 1;
  }

  return {
    push: (record: StoredRecord): void => {
      records.push(record);
      usedBytes += sizeOf(record);
      while (usedBytes > maxBytes) dropOldest();
      // Removes dropped records once they are more than half of the array, at
      // amortised constant cost per record.
      if (firstIndex <= records.length / 2) return;
      records = records.slice(firstIndex);
      firstIndex = 0;
    },
    toArray: (): readonly StoredRecord[] => records.slice(firstIndex),
    usedBytes: () => usedBytes,
  };
}

function sizeOf(record: StoredRecord): number {
  return RECORD_OVERHEAD_BYTES + record.json.length;
}
