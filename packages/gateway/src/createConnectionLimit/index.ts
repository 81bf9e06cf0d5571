import type { Socket } from 'node:net';

/** What a connection does: it waits for a request, its request is read, or it is served. */
export type ConnectionPhase = 'idle' | 'reading' | 'serving';

/** A bound on the connections of callers. */
export interface ConnectionLimit {
  /** Adds a new connection. Where there are too many, one of them is closed. */
  readonly add: (socket: Socket) => void;
  readonly setPhase: (socket: Socket, phase: ConnectionPhase) => void;
  readonly remove: (socket: Socket) => void;
}

/** Options of {@link createConnectionLimit}. */
export interface CreateConnectionLimitOptions {
  readonly maxConnections: number;
}

/** Connections that others may open to this process. */
export interface ConnectionShares {
  readonly callers: number;
  /** At each other port that is not for peers. */
  readonly eachPort: number;
}

/** Descriptors where the machine's limit is not known. */
const DEFAULT_DESCRIPTORS = 4096;

/** Descriptors for files, listeners and the store. */
const RESERVED_DESCRIPTORS = 200;

/** An open request of a caller takes one more connection at most, to its target or peer. */
const CALLER_SHARE = 3 / 8;

const PORT_SHARE = 1 / 16;

/**
 * Divides the descriptors of a process among those who connect to it.
 *
 * @param maxDescriptors - Descriptors that the process may have open; 4,096 by default.
 * @returns The greatest numbers of connections.
 *
 * @example
 * shareConnections(4100); // { callers: 1462, eachPort: 243 }
 */
export function shareConnections(
  maxDescriptors = DEFAULT_DESCRIPTORS,
): ConnectionShares {
  const connections = Math.max(maxDescriptors - RESERVED_DESCRIPTORS, 0);
  return {
    callers: Math.floor(connections * CALLER_SHARE),
    eachPort: Math.floor(connections * PORT_SHARE),
  };
}

/**
 * Creates a bound on connections. Where there are too many, the one is closed that has been
 * idle for the longest, or else the one whose request has been incomplete for the longest:
 * ordinary callers send their requests at once. If all of them are served, the new one is
 * closed; nothing was read from it.
 *
 * @param options - The bound.
 * @returns The bound, without connections.
 *
 * @example
 * const limit = createConnectionLimit({ maxConnections: 100 });
 * server.on('connection', limit.add);
 */
export function createConnectionLimit({
  maxConnections,
}: CreateConnectionLimitOptions): ConnectionLimit {
  /** Connections by phase, those first that have been in it for the longest. */
  const byPhase: Readonly<Record<ConnectionPhase, Set<Socket>>> = {
    idle: new Set(),
    reading: new Set(),
    serving: new Set(),
  };
  const phases = Object.values(byPhase);

  function remove(socket: Socket): void {
    phases.forEach((sockets) => sockets.delete(socket));
  }

  function count(): number {
    return phases.reduce((sum, { size }) => sum + size, 0);
  }

  return {
    add(socket) {
      byPhase.idle.add(socket);
      if (count() <= maxConnections) return;
      const [oldestIdle = socket] = byPhase.idle;
      const [oldestReading] = byPhase.reading;
      const closed = oldestIdle === socket ? oldestReading : oldestIdle;
      remove(closed ?? socket);
      (closed ?? socket).destroy();
    },
    setPhase(socket, phase) {
      if (byPhase[phase].has(socket) || socket.destroyed) return;
      remove(socket);
      byPhase[phase].add(socket);
    },
    remove,
  };
}
