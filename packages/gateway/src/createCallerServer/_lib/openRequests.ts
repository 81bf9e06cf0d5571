import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Requests that were read and have no complete response yet. */
export interface OpenRequests {
  readonly add: (request: IncomingMessage, response: ServerResponse) => void;
  /** Whether a request is the last one that was read from its connection. */
  readonly isLast: (request: IncomingMessage) => boolean;
  /** Number of open requests of a connection, or of all. */
  readonly count: (socket?: Duplex) => number;
}

/** A connection from which a request was read. */
interface Connection {
  readonly responses: Set<ServerResponse>;
  last: IncomingMessage;
}

/**
 * Creates an empty list of open requests. A caller may send several at once; their responses
 * follow in the same order.
 *
 * @example
 * openRequests.add(request, response);
 */
export function createOpenRequests(): OpenRequests {
  const connections = new Map<Duplex, Connection>();

  function connect(request: IncomingMessage): Connection {
    const { socket } = request;
    const connection: Connection = {
      responses: new Set(),
      last: request,
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
      connection.last = request;
      responses.add(response);
      response.once('close', () => {
        responses.delete(response);
      });
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
