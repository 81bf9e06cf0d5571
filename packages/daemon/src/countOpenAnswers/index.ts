import type { FastifyInstance } from 'fastify';
import type { ServerResponse } from 'node:http';

/**
 * Counts the answers of a server that are not complete, or that wait for a caller who reads
 * slowly.
 *
 * @param server - The server, before it listens.
 * @returns A function that returns the current count.
 *
 * @example
 * const openAnswers = countOpenAnswers(server);
 */
export function countOpenAnswers(server: FastifyInstance): () => number {
  const open = new Set<ServerResponse>();
  server.addHook('onRequest', (_request, { raw }, done) => {
    open.add(raw);
    raw.once('close', () => open.delete(raw));
    done();
  });
  return () => {
    // When a connection closes, Node emits 'close' only for the answer that is being written.
    [...open]
      .filter(({ req }) => req.socket.destroyed)
      .forEach((answer) => open.delete(answer));
    return open.size;
  };
}
