import {
  type BlockPool,
  type ByteCollector,
  collectBytes,
  type EventMark,
} from '@endivegate/core/forwarding';

/** A complete server-sent event. Its id stays the text that was sent. */
export interface StreamEvent extends EventMark {
  readonly bytes: Buffer;
}

/** Splits the body of an event stream into events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that are now complete. */
  readonly push: (chunk: Buffer) => readonly StreamEvent[];
  /** Number of buffered bytes of an incomplete event. */
  readonly pendingBytes: () => number;
  /** Whether an event exceeded the limit; no events are returned from then on. */
  readonly isOversized: () => boolean;
  /** Drops the buffered bytes. */
  readonly clear: () => void;
}

/** Options of {@link createEventSplitter}. */
export interface CreateEventSplitterOptions {
  /** Maximum size of an event; {@link MAX_EVENT_BYTES} by default. */
  readonly maxEventBytes?: number;
  /** Where the memory of large events comes from; it is allocated by default. */
  readonly blocks?: BlockPool;
}

/** No bound is stated; an event of one decoding step has some hundred bytes. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024;

const LINE_END = 0x0a;
const EVENT_END = '\n\n';

/**
 * Creates a splitter for a stream of server-sent events. Each byte is scanned
 * once, and copied once if its event arrives in several chunks.
 *
 * @param options - Limit of an event.
 * @returns The splitter.
 *
 * @example
 * createEventSplitter().push(Buffer.from('id: 1\ndata: a\n\n')); // one event
 */
export function createEventSplitter(
  options: CreateEventSplitterOptions = {},
): EventSplitter {
  const { maxEventBytes = MAX_EVENT_BYTES, blocks } = options;
  const collectEvent = (): ByteCollector =>
    collectBytes({
      maxBytes: maxEventBytes,
      ...(blocks === undefined ? {} : { blocks }),
    });
  let pending = collectEvent();
  let endsInLineEnd = false;
  let isOversized = false;

  /** Returns the end of the event that starts in the pending bytes, or -1. */
  function endOfPending(chunk: Buffer): number {
    if (endsInLineEnd && chunk[0] === LINE_END) return 1;
    const separatorAt = chunk.indexOf(EVENT_END);
    return separatorAt < 0 ? -1 : separatorAt + EVENT_END.length;
  }

  function keep(rest: Buffer): void {
    if (rest.length === 0) return;
    isOversized = !pending.add(rest);
    endsInLineEnd = rest.at(-1) === LINE_END;
  }

  /** Returns the event that the chunk completes, if one was pending. */
  function completePending(chunk: Buffer, end: number): Buffer | undefined {
    const start = pending;
    pending = collectEvent();
    endsInLineEnd = false;
    isOversized = !start.add(chunk.subarray(0, end));
    return isOversized ? undefined : Buffer.from(start.bytes());
  }

  return {
    push(chunk) {
      if (isOversized) return [];
      const events: StreamEvent[] = [];
      let from = 0;
      if (pending.byteLength() > 0) {
        from = endOfPending(chunk);
        if (from < 0) {
          keep(chunk);
          return [];
        }
        const event = completePending(chunk, from);
        if (event === undefined) return [];
        events.push(parseEvent(event));
      }
      let separatorAt = chunk.indexOf(EVENT_END, from);
      while (separatorAt >= 0) {
        const end = separatorAt + EVENT_END.length;
        events.push(parseEvent(chunk.subarray(from, end)));
        from = end;
        separatorAt = chunk.indexOf(EVENT_END, from);
      }
      keep(chunk.subarray(from));
      return events;
    },
    pendingBytes: () => pending.byteLength(),
    isOversized: () => isOversized,
    clear() {
      pending.clear();
    },
  };
}

/** Of several ids, the last one applies. */
function parseEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1');
  const id = [...text.matchAll(/^id(?:: ?(.*))?$/gm)].at(-1);
  return {
    bytes,
    id: id === undefined ? undefined : (id[1] ?? ''),
    hasData: /^data(?::|$)/m.test(text),
  };
}
