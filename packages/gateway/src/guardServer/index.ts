import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createConnectionLimit } from '../createConnectionLimit/index.ts';
import { closeLingering } from '../discardRest/index.ts';

/** Options of {@link guardServer}. */
export interface GuardServerOptions {
  readonly maxConnections: number;
}

/**
 * Protects a server of small answers to requests without a body from clients that open many
 * connections or send bodies. A body is dropped unparsed, and its connection is closed after
 * the answer.
 *
 * @param server - The server.
 * @param options - The bound on connections; beyond, the one is closed that was opened first.
 * @returns The server.
 *
 * @example
 * guardServer(createServer(answer), { maxConnections: 100 }).listen(8224);
 */
export function guardServer(
  server: Server,
  { maxConnections }: GuardServerOptions,
): Server {
  const connections = createConnectionLimit({ maxConnections });
  server.on('connection', (socket: Socket) => {
    connections.add(socket);
    socket.once('close', () => {
      connections.remove(socket);
    });
  });
  server.prependListener(
    'request',
    (request: IncomingMessage, response: ServerResponse) => {
      const { headers, socket } = request;
      const isChunked = headers['transfer-encoding'] !== undefined;
      if (!isChunked && Number(headers['content-length'] ?? 0) === 0) return;
      response.shouldKeepAlive = false;
      request.resume();
      closeLingering(socket);
    },
  );
  return server;
}
