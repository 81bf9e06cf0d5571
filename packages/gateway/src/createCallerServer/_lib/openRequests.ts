import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Requests that were read and have no complete response yet. */
export interface OpenRequests {
  /**
   * Adds a request.
   *
   * @returns False if it came behind a response that closes its connection, so that it
   * cannot be answered.
   */
  readonly add: (request: IncomingMessage, response: ServerResponse) => boolean;
  /** Whether a request is the last one that was read from its connection. */
  readonly isLast: (request: IncomingMessage) => boolean;
  /** Number of open requests of a connection, or of all. */
  readonly count: (socket?: Duplex) => number;
}

/** A connection from which a request was read. */
interface Connection {
  readonly responses: Set<ServerResponse>;
  last: IncomingMessage;
  isClosing: boolean;
}

/**
 * Creates an empty list of open requests. A caller may send several at once; their responses
 * follow in the same order.
 *
 * @example
 * if (openRequests.add(request, response)) answer(request, response);
 */
export function createOpenRequests(): OpenRequests {
  const connections = new Map<Duplex, Connection>();

  function connect(request: IncomingMessage): Connection {
    const { socket } = request;
    const connection: Connection = {
      responses: new Set(),
      last: request,
      isClosing: false,
    };
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      // Node emits this only for the response that is being written.
      connection.responses.forEach((response) => response.emit('close'));
    });
    return connection;
  }

  return {
    add(request, response) {
      const connection = connections.get(request.socket) ?? connect(request);
      const { responses } = connection;
      connection.isClosing ||= [...responses].some(closesConnection);
      if (connection.isClosing) return false;
      connection.last = request;
      responses.add(response);
      response.once('close', () => {
        responses.delete(response);
        connection.isClosing ||= closesConnection(response);
      });
      return true;
    },
    isLast: (request) => connections.get(request.socket)?.last === request,
    count(socket) {
      const counted =
        socket === undefined
          ? [...connections.values()]
          : [connections.get(socket)];
      return counted.reduce((sum, one) => sum + (one?.responses.size ?? 0), 0);
    },
  };
}

function closesConnection(response: ServerResponse): boolean {
  return response.headersSent && !response.shouldKeepAlive;
}
