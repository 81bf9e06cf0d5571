/** Gathers messages of several entries, so that they share datagrams. */
export interface Batch {
  readonly add: (message: Uint8Array) => void;
  readonly close: () => void;
}

/** Options of {@link createBatch}. */
export interface CreateBatchOptions {
  readonly gatherMs: number;
  /** Largest sum of messages that are sent together. */
  readonly mostBytes: number;
  readonly send: (messages: Uint8Array) => void;
}

/** Creates a batch that is sent `gatherMs` after its first message. */
export function createBatch(options: CreateBatchOptions): Batch {
  let messages: readonly Uint8Array[] = [];
  let bytes = 0;
  let timer: NodeJS.Timeout | undefined;

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    if (messages.length === 0) return;
    const whole = Buffer.concat(messages);
    messages = [];
    bytes = 0;
    options.send(whole);
  }

  return {
    add(message) {
      if (bytes + message.length > options.mostBytes) flush();
      messages = [...messages, message];
      bytes += message.length;
      timer ??= setTimeout(flush, options.gatherMs);
    },
    close() {
      clearTimeout(timer);
    },
  };
}
