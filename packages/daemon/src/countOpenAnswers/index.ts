import type { FastifyInstance } from 'fastify';

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
  let count = 0;
  server.addHook('onRequest', (_request, reply, done) => {
    count += 1;
    reply.raw.once('close', () => {
      count -= 1;
    });
    done();
  });
  return () => count;
}
