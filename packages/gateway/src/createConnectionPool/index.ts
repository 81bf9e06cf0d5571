import { connect, type Socket } from 'node:net';

/** A connection to a target. */
export interface PooledConnection {
  readonly socket: Socket;
  /** Whether it carried a request before. */
  readonly isReused: boolean;
}

/** Why no connection was made. */
export interface ConnectFailure {
  readonly type: 'connectFailed';
  readonly reason: string;
}

/** How a connection is asked for. */
export interface ConnectQuery {
  /** IP and port. */
  readonly address: string;
  /** Whether the connection must be a new one. */
  readonly fresh: boolean;
}

/** Connections to targets, kept open between requests. */
export interface ConnectionPool {
  /** Calls back once, unless the returned function is called before. */
  readonly acquire: (
    query: ConnectQuery,
    done: (result: PooledConnection | ConnectFailure) => void,
  ) => () => void;
  /** Keeps a connection whose answer was whole for `idleMs`. */
  readonly release: (address: string, socket: Socket, idleMs: number) => void;
  /** Closes the idle connections of a target. */
  readonly discard: (address: string) => void;
  /** Closes idle connections of targets that are gone. */
  readonly keepOnly: (addresses: ReadonlySet<string>) => void;
  readonly close: () => void;
}

/** Options of {@link createConnectionPool}. */
export interface CreateConnectionPoolOptions {
  /** Time for a connection to be made; {@link CONNECT_TIMEOUT_MS} by default. */
  readonly connectTimeoutMs?: number;
  /** Called for each new connection. */
  readonly onConnect?: () => void;
}

/** Longer than a round trip between data centres, shorter than a lost packet's
 * retransmission, which takes a second. */
const CONNECT_TIMEOUT_MS = 400;

/** Idle connections kept for one target. */
const MOST_IDLE = 8;

/** Any of these ends an idle connection: its time, bytes of no request, its end. */
const END_OF_IDLE = ['timeout', 'data', 'close', 'end'] as const;

interface IdleConnection {
  readonly socket: Socket;
  /** Removes the listeners that discard it. */
  readonly stopWatching: () => void;
}

/**
 * Creates a pool of connections by target address.
 *
 * An idle connection on which anything arrives, or which ends, is dropped: the
 * bytes belong to no request.
 *
 * @param options - Time-out of a connection attempt.
 * @returns The pool.
 *
 * @example
 * const stop = pool.acquire({ address: '10.0.0.1:80', fresh: false }, use);
 */
export function createConnectionPool(
  options: CreateConnectionPoolOptions = {},
): ConnectionPool {
  const { connectTimeoutMs = CONNECT_TIMEOUT_MS, onConnect } = options;
  const idleByAddress = new Map<string, IdleConnection[]>();

  function takeIdle(address: string): Socket | undefined {
    const idle = idleByAddress.get(address) ?? [];
    const connection = idle.pop();
    if (connection === undefined) return undefined;
    const { socket } = connection;
    connection.stopWatching();
    socket.setTimeout(0);
    return socket.destroyed || !socket.writable ? takeIdle(address) : socket;
  }

  function drop(address: string, socket: Socket): void {
    const idle = idleByAddress.get(address) ?? [];
    const kept = idle.filter((one) => one.socket !== socket);
    if (kept.length > 0) idleByAddress.set(address, kept);
    else idleByAddress.delete(address);
    socket.destroy();
  }

  function discard(address: string): void {
    (idleByAddress.get(address) ?? []).forEach(({ socket }) => {
      drop(address, socket);
    });
  }

  return {
    acquire(query, done) {
      const idle = query.fresh ? undefined : takeIdle(query.address);
      if (idle !== undefined) {
        done({ socket: idle, isReused: true });
        return () => undefined;
      }
      return open(query.address, { connectTimeoutMs }, (result) => {
        if (!('type' in result)) onConnect?.();
        done(result);
      });
    },
    release(address, socket, idleMs) {
      const idle = idleByAddress.get(address) ?? [];
      if (socket.destroyed || idleMs <= 0 || idle.length >= MOST_IDLE) {
        socket.destroy();
        return;
      }
      const end = (): void => {
        drop(address, socket);
      };
      const stopWatching = (): void => {
        END_OF_IDLE.forEach((event) => socket.off(event, end));
      };
      idleByAddress.set(address, [...idle, { socket, stopWatching }]);
      socket.setTimeout(idleMs);
      END_OF_IDLE.forEach((event) => socket.once(event, end));
      socket.resume();
    },
    discard,
    keepOnly(addresses) {
      [...idleByAddress.keys()]
        .filter((address) => !addresses.has(address))
        .forEach(discard);
    },
    close() {
      [...idleByAddress.values()]
        .flat()
        .forEach(({ socket }) => socket.destroy());
      idleByAddress.clear();
    },
  };
}

function open(
  address: string,
  options: { readonly connectTimeoutMs: number },
  done: (result: PooledConnection | ConnectFailure) => void,
): () => void {
  const [host = '', port = ''] = address.split(':');
  const socket = connect({
    host,
    port: Number(port),
    noDelay: true,
    allowHalfOpen: true,
  });
  const fail = (reason: string): void => {
    clearTimeout(timer);
    socket.removeAllListeners();
    socket.on('error', ignore);
    socket.destroy();
    done({ type: 'connectFailed', reason });
  };
  const timer = setTimeout(() => {
    fail('connect timed out');
  }, options.connectTimeoutMs);
  socket.once('error', (error) => {
    fail(error.message);
  });
  socket.once('connect', () => {
    clearTimeout(timer);
    socket.removeAllListeners();
    socket.on('error', ignore);
    done({ socket, isReused: false });
  });
  return () => {
    clearTimeout(timer);
    socket.removeAllListeners();
    socket.on('error', ignore);
    socket.destroy();
  };
}

/** An error is followed by a close, which is what users of a socket act on. */
function ignore(): void {
  return undefined;
}
