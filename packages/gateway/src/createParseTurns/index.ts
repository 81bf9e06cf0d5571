import type { Socket } from 'node:net';

/** Shares out the processor time in which bodies are parsed. */
export interface ParseTurns {
  /** Has what arrives on a connection parsed in turns from now on. */
  readonly add: (socket: Socket) => void;
}

/** Options of {@link createParseTurns}. */
export interface CreateParseTurnsOptions {
  /** Time for all connections together in a turn of the event loop; 4 ms by default. */
  readonly turnMs?: number;
  /** Bytes that are parsed before it is the turn of another connection; 8 KiB by default. */
  readonly sliceBytes?: number;
  /** Monotonic time in ms; `performance.now` by default. */
  readonly now?: () => number;
}

interface Connection {
  /** Parses the next slice. Returns whether bytes are left. */
  readonly parseSlice: () => boolean;
}

const SLICE_BYTES = 8 * 1024;
const TURN_MS = 4;

/**
 * Creates turns for connections whose bodies are sent in chunks. The parser calls back for
 * each chunk, so that a body in chunks of a byte takes thousands of times as long as one in
 * large chunks; between two turns, everything else is served.
 *
 * A connection is not read on while some of its bytes wait for their turn. What arrives in
 * less than a slice is parsed at once, so that ordinary requests never wait: a turn also
 * includes the time in which requests are begun.
 *
 * @param options - Sizes of turns.
 * @returns The turns, without connections.
 *
 * @example
 * const turns = createParseTurns();
 * server.on('request', ({ socket }) => turns.add(socket));
 */
export function createParseTurns(
  options: CreateParseTurnsOptions = {},
): ParseTurns {
  const { turnMs = TURN_MS, sliceBytes = SLICE_BYTES } = options;
  const { now = () => performance.now() } = options;
  const added = new WeakSet<Socket>();
  const waiting: Connection[] = [];
  let usedMs = 0;
  let hasNextTurn = false;

  function parseWaiting(): void {
    while (usedMs < turnMs) {
      const connection = waiting.shift();
      if (connection === undefined) break;
      const startedAtMs = now();
      if (connection.parseSlice()) waiting.push(connection);
      usedMs += now() - startedAtMs;
    }
    if (hasNextTurn) return;
    hasNextTurn = true;
    setImmediate(() => {
      hasNextTurn = false;
      usedMs = 0;
      if (waiting.length > 0) parseWaiting();
    });
  }

  function connect(socket: Socket): void {
    let pending: Buffer = Buffer.alloc(0);
    const resume = socket.resume.bind(socket);
    const receive = (bytes: Buffer): void => {
      const isWaiting = pending.length > 0;
      if (!isWaiting && bytes.length <= sliceBytes) {
        parse(bytes);
        return;
      }
      pending = isWaiting ? Buffer.concat([pending, bytes]) : bytes;
      if (isWaiting) return;
      waiting.push({ parseSlice });
      parseWaiting();
      if (pending.length > 0) socket.pause();
    };
    // Node stops parsing natively once there is a listener.
    socket.on('data', receive);
    const parsers = socket
      .listeners('data')
      .filter((listener) => listener !== receive);
    parsers.forEach((parser) => socket.off('data', parser as typeof receive));
    // A request that is read resumes its connection for each chunk.
    socket.resume = () => (pending.length > 0 ? socket : resume());

    function parse(bytes: Buffer): void {
      parsers.forEach((parser) => {
        parser.call(socket, bytes);
      });
    }

    function parseSlice(): boolean {
      const slice = pending.subarray(0, sliceBytes);
      pending = pending.subarray(sliceBytes);
      const isReceiving = socket.listeners('data').includes(receive);
      if (socket.destroyed || !isReceiving) pending = pending.subarray(0, 0);
      else parse(slice);
      if (pending.length === 0) socket.resume();
      return pending.length > 0;
    }
  }

  return {
    add(socket) {
      if (added.has(socket)) return;
      added.add(socket);
      connect(socket);
    },
  };
}
