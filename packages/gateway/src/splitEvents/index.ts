/**
 * A complete server-sent event: its bytes, and its id if it has a numeric one.
 */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

/** Splits the body of an event stream into events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that are now complete. */
  readonly push: (chunk: Buffer) => readonly StreamEvent[];
  /** Number of buffered bytes of an incomplete event. */
  readonly pendingBytes: () => number;
}

const EVENT_END = '\n\n';

/**
 * Creates a splitter for a stream of server-sent events.
 *
 * @returns The splitter.
 *
 * @example
 * createEventSplitter().push(Buffer.from('id: 1\ndata: a\n\n')); // one event
 */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes =
        pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const events: StreamEvent[] = [];
      let from = 0;
      let separatorAt = bytes.indexOf(EVENT_END);
      while (separatorAt >= 0) {
        const end = separatorAt + EVENT_END.length;
        events.push(parseEvent(bytes.subarray(from, end)));
        from = end;
        separatorAt = bytes.indexOf(EVENT_END, from);
      }
      pending = Buffer.from(bytes.subarray(from));
      return events;
    },
    pendingBytes: () => pending.length,
  };
}

function parseEvent(bytes: Buffer): StreamEvent {
  const id = /^id: ?(\d+)/m.exec(bytes.toString('latin1'))?.[1];
  return { bytes, id: id === undefined ? undefined : Number(id) };
}
