import { connect, type Socket, type TcpNetConnectOpts } from 'node:net';

/** Opens a connection. */
export type Connect = (options: TcpNetConnectOpts) => Socket;

/** An open connection to a target. */
export interface PooledConnection {
  readonly socket: Socket;
  /** Whether the connection has carried an earlier request. */
  readonly isReused: boolean;
}

/** A failed attempt to connect. */
export interface ConnectFailure {
  readonly type: 'connectFailed';
  readonly reason: string;
}

/** Parameters of {@link ConnectionPool.acquire}. */
export interface ConnectQuery {
  /** IP and port. */
  readonly address: string;
  /** Whether to open a new connection even if an idle one exists. */
  readonly fresh: boolean;
  /** Whether an idle connection may be used; all may by default. */
  readonly accepts?: (socket: Socket) => boolean;
}

/** Pool of keep-alive connections to targets. */
export interface ConnectionPool {
  /**
   * Calls `done` once, with an idle or a new connection or a failure. The
   * returned function cancels the attempt; it does nothing after `done`.
   */
  readonly acquire: (
    query: ConnectQuery,
    done: (result: PooledConnection | ConnectFailure) => void,
  ) => () => void;
  /** Returns a connection to the pool, where it may stay idle for `idleMs`. */
  readonly release: (address: string, socket: Socket, idleMs: number) => void;
  /** Closes all idle connections to a target. */
  readonly discard: (address: string) => void;
  /** Closes idle connections to all addresses except these. */
  readonly keepOnly: (addresses: ReadonlySet<string>) => void;
  readonly close: () => void;
}

/** Options of {@link createConnectionPool}. */
export interface CreateConnectionPoolOptions {
  /** Timeout of a connection attempt; {@link CONNECT_TIMEOUT_MS} by default. */
  readonly connectTimeoutMs?: number;
  /** Opens connections; `connect` of `node:net` by default. */
  readonly connectSocket?: Connect;
  /** Called for each new connection. */
  readonly onConnect?: (address: string) => void;
}

/**
 * Longer than a round trip between data centres, but shorter than the one
 * second after which a lost SYN is retransmitted.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Maximum number of idle connections per target. */
const MAX_IDLE_PER_TARGET = 8;

/**
 * Socket events on which an idle connection is closed: timeout, unexpected data
 * or end of the connection.
 */
const IDLE_END_EVENTS = ['timeout', 'data', 'close', 'end'] as const;

interface IdleConnection {
  readonly socket: Socket;
  /** Removes the listeners for {@link IDLE_END_EVENTS}. */
  readonly stopWatching: () => void;
}

/**
 * Creates a pool of connections, keyed by target address.
 *
 * An idle connection is closed when it ends or receives data, since such data
 * belongs to no request.
 *
 * @param options - Connection timeout and a callback for new connections.
 * @returns The pool.
 *
 * @example
 * const stop = pool.acquire({ address: '10.0.0.1:80', fresh: false }, use);
 */
export function createConnectionPool(
  options: CreateConnectionPoolOptions = {},
): ConnectionPool {
  const {
    connectTimeoutMs = CONNECT_TIMEOUT_MS,
    connectSocket = connect,
    onConnect,
  } = options;
  const idleByAddress = new Map<string, IdleConnection[]>();

  /** Takes the connection that was used last. */
  function takeIdle({ address, accepts }: ConnectQuery): Socket | undefined {
    const connection = (idleByAddress.get(address) ?? []).findLast(
      ({ socket }) =>
        !socket.destroyed && socket.writable && accepts?.(socket) !== false,
    );
    if (connection === undefined) return undefined;
    forget(address, connection.socket);
    connection.stopWatching();
    connection.socket.setTimeout(0);
    return connection.socket;
  }

  function forget(address: string, socket: Socket): void {
    const idle = idleByAddress.get(address) ?? [];
    const kept = idle.filter((one) => one.socket !== socket);
    if (kept.length > 0) idleByAddress.set(address, kept);
    else idleByAddress.delete(address);
  }

  function drop(address: string, socket: Socket): void {
    forget(address, socket);
    socket.destroy();
  }

  function discard(address: string): void {
    (idleByAddress.get(address) ?? []).forEach(({ socket }) => {
      drop(address, socket);
    });
  }

  return {
    acquire(query, done) {
      const idle = query.fresh ? undefined : takeIdle(query);
      if (idle !== undefined) {
        done({ socket: idle, isReused: true });
        return () => undefined;
      }
      return open(
        query.address,
        { connectTimeoutMs, connectSocket },
        (result) => {
          if (!('type' in result)) onConnect?.(query.address);
          done(result);
        },
      );
    },
    release(address, socket, idleMs) {
      const idle = idleByAddress.get(address) ?? [];
      if (
        socket.destroyed ||
        idleMs <= 0 ||
        idle.length >= MAX_IDLE_PER_TARGET
      ) {
        socket.destroy();
        return;
      }
      const end = (): void => {
        drop(address, socket);
      };
      const stopWatching = (): void => {
        IDLE_END_EVENTS.forEach((event) => socket.off(event, end));
      };
      idleByAddress.set(address, [...idle, { socket, stopWatching }]);
      socket.setTimeout(idleMs);
      IDLE_END_EVENTS.forEach((event) => socket.once(event, end));
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
  options: {
    readonly connectTimeoutMs: number;
    readonly connectSocket: Connect;
  },
  done: (result: PooledConnection | ConnectFailure) => void,
): () => void {
  const [host = '', port = ''] = address.split(':');
  const socket = options.connectSocket({
    host,
    port: Number(port),
    noDelay: true,
    allowHalfOpen: true,
  });
  let expiry: NodeJS.Immediate | undefined;
  const stopTimer = (): void => {
    clearTimeout(timer);
    clearImmediate(expiry);
  };
  const fail = (reason: string): void => {
    stopTimer();
    socket.removeAllListeners();
    socket.on('error', ignoreError);
    socket.destroy();
    done({ type: 'connectFailed', reason });
  };
  const timer = setTimeout(() => {
    // Timers run before sockets are polled: if the process was held up, the
    // connection may be open.
    expiry = setImmediate(fail, 'connection attempt timed out');
  }, options.connectTimeoutMs);
  socket.once('error', (error) => {
    fail(error.message);
  });
  let isHandedOver = false;
  socket.once('connect', () => {
    stopTimer();
    socket.removeAllListeners();
    socket.on('error', ignoreError);
    isHandedOver = true;
    done({ socket, isReused: false });
  });
  return () => {
    // By now, the listeners are those of whoever has the connection.
    if (isHandedOver) return;
    stopTimer();
    socket.removeAllListeners();
    socket.on('error', ignoreError);
    socket.destroy();
  };
}

/** Error listener that does nothing: 'close' follows and is handled instead. */
function ignoreError(): void {
  return undefined;
}
