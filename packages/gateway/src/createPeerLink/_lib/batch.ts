/** Collects messages of several entries to send them in shared datagrams. */
export interface Batch {
  readonly add: (message: Uint8Array) => void;
  readonly close: () => void;
}

/** Options of {@link createBatch}. */
export interface CreateBatchOptions {
  /** Time from the first message of a batch until the batch is sent. */
  readonly delayMs: number;
  /** Maximum total size of the messages in a batch. */
  readonly maxBytes: number;
  readonly send: (messages: Uint8Array) => void;
}

/**
 * Creates a batch that is sent `delayMs` after its first message, or before the
 * next message would exceed `maxBytes`.
 */
export function createBatch(options: CreateBatchOptions): Batch {
  let messages: readonly Uint8Array[] = [];
  let bytes = 0;
  let timer: NodeJS.Timeout | undefined;

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    if (messages.length === 0) return;
    const batched = Buffer.concat(messages);
    messages = [];
    bytes = 0;
    options.send(batched);
  }

  return {
    add(message) {
      if (bytes + message.length > options.maxBytes) flush();
      messages = [...messages, message];
      bytes += message.length;
      timer ??= setTimeout(flush, options.delayMs);
    },
    close() {
      clearTimeout(timer);
    },
  };
}
