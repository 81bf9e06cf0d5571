/** A whole event of a stream, as bytes, with its id if it has one. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

/** Splits the body of a stream into whole events. */
export interface EventSplitter {
  /** Takes bytes and returns the events that they complete. */
  readonly push: (chunk: Buffer) => readonly StreamEvent[];
  /** Bytes of an event that is not complete yet. */
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
      let at = bytes.indexOf(EVENT_END);
      while (at >= 0) {
        const end = at + EVENT_END.length;
        events.push(eventOf(bytes.subarray(from, end)));
        from = end;
        at = bytes.indexOf(EVENT_END, from);
      }
      pending = Buffer.from(bytes.subarray(from));
      return events;
    },
    pendingBytes: () => pending.length,
  };
}

function eventOf(bytes: Buffer): StreamEvent {
  const id = /^id: ?(\d+)/m.exec(bytes.toString('latin1'))?.[1];
  return { bytes, id: id === undefined ? undefined : Number(id) };
}
