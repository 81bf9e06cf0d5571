import { createServer, type Socket } from 'node:net';

/** What a server of {@link startEndlessServer} writes to each connection. */
export interface EndlessScript {
  /** Written once, after the first bytes of a request arrived; may depend on them. */
  readonly opening?: string | ((request: string) => string);
  /** Written again and again until the connection closes. */
  readonly repeated: string | Buffer;
  /** Pause before each write but the opening; 0 by default. */
  readonly pauseMs?: number;
  /** Bytes after which the server resets the connection by itself. */
  readonly maxBytes?: number;
}

/** A server whose responses never end. */
export interface EndlessServer {
  /** IP and port. */
  readonly address: string;
  /** Bytes written to all connections so far. */
  readonly writtenBytes: () => number;
  readonly connections: () => number;
  /** Whether a connection reached a limit of this server before it was closed. */
  readonly hasGivenUp: () => boolean;
  /** Resolves when no connection is open; at once before the first one. */
  readonly idle: () => Promise<void>;
  readonly stop: () => void;
}

/** Far above each limit of a client, and small enough to hold in memory. */
const MAX_BYTES = 96 * 1024 * 1024;

/** Limits a connection on which the client neither reads nor closes. */
const MAX_OPEN_MS = 10_000;

/** Size of a single write. */
const BLOCK_BYTES = 64 * 1024;

const CHECK_INTERVAL_MS = 5;

/**
 * Starts a server for tests that writes without end. It stops by itself at a
 * number of bytes or after some seconds, by resetting the connection.
 *
 * @param script - What it writes.
 * @returns The server.
 *
 * @example
 * const server = await startEndlessServer({ repeated: 'no HTTP at all' });
 */
export async function startEndlessServer(
  script: EndlessScript,
): Promise<EndlessServer> {
  const sockets = new Set<Socket>();
  let connections = 0;
  let closedBytes = 0;
  let hasGivenUp = false;
  const server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    const giveUp = (): void => {
      hasGivenUp = true;
      socket.resetAndDestroy();
    };
    const openTimer = setTimeout(giveUp, MAX_OPEN_MS);
    socket.on('error', () => undefined);
    socket.once('data', (received) => {
      socket.resume();
      const { opening = '' } = script;
      const isFixed = typeof opening === 'string';
      socket.write(isFixed ? opening : opening(received.toString('latin1')));
      writeOn(socket, script, giveUp);
    });
    socket.once('close', () => {
      clearTimeout(openTimer);
      sockets.delete(socket);
      closedBytes += socket.bytesWritten;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  if (bound === null || typeof bound === 'string') throw new Error('no port');
  return {
    address: `127.0.0.1:${bound.port}`,
    writtenBytes: () =>
      [...sockets].reduce((sum, one) => sum + one.bytesWritten, closedBytes),
    connections: () => connections,
    hasGivenUp: () => hasGivenUp,
    async idle() {
      while (sockets.size > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, CHECK_INTERVAL_MS);
        });
      }
    },
    stop() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

function writeOn(
  socket: Socket,
  script: EndlessScript,
  giveUp: () => void,
): void {
  const { pauseMs = 0, maxBytes = MAX_BYTES } = script;
  const one = Buffer.from(script.repeated);
  const copies =
    pauseMs > 0 ? 1 : Math.max(Math.floor(BLOCK_BYTES / one.length), 1);
  const block = Buffer.concat(Array.from({ length: copies }, () => one));

  function writeBlock(): void {
    if (socket.destroyed || !socket.writable) return;
    if (socket.bytesWritten >= maxBytes) {
      giveUp();
      return;
    }
    socket.write(block, (error) => {
      if (error !== null && error !== undefined) return;
      if (pauseMs > 0) setTimeout(writeBlock, pauseMs);
      else setImmediate(writeBlock);
    });
  }

  setTimeout(writeBlock, pauseMs);
}
