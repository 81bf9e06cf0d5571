import type { IncomingMessage } from 'node:http';
import {
  type ByteBudget,
  collectBytes,
  createByteBudget,
  type Holding,
} from '@endivegate/core/forwarding';
import fastify, { type FastifyInstance } from 'fastify';

/** Options of {@link limitBodies}. */
export interface LimitBodiesOptions {
  readonly maxBodyBytes: number;
  /** Limit of the bodies of all open requests together. */
  readonly maxHeldBytes: number;
}

/** Error for a body for which there is no memory. */
export class NoMemoryError extends Error {
  readonly code = 'ENTRY_NO_MEMORY';
  readonly statusCode = 503;
}

/**
 * Has a server keep bodies in a few blocks instead of their chunks, and within a limit for
 * all of them until their responses have ended.
 *
 * @param server - The server, without routes.
 * @param options - Limits.
 */
export function limitBodies(
  server: FastifyInstance,
  options: LimitBodiesOptions,
): void {
  const budget = createByteBudget({ maxBytes: options.maxHeldBytes });
  const holdings = new WeakMap<IncomingMessage, Holding>();
  const parseJson = server.getDefaultJsonParser('error', 'error');

  server.addHook('onRequest', ({ raw }, reply, done) => {
    reply.raw.once('close', () => holdings.get(raw)?.release());
    done();
  });

  function receive(
    { raw }: { readonly raw: IncomingMessage },
    done: (error: Error | null, text?: string) => void,
  ): void {
    const held = receiveText(raw, { ...options, budget }, done);
    holdings.set(raw, held);
  }

  server.addContentTypeParser('text/plain', (request, _payload, done) => {
    receive(request, done);
  });
  server.addContentTypeParser('application/json', (request, _payload, done) => {
    receive(request, (error, text = '') => {
      if (error !== null) done(error);
      else void parseJson(request, text, done);
    });
  });
}

interface ReceiveTextOptions {
  readonly maxBodyBytes: number;
  readonly budget: ByteBudget;
}

function receiveText(
  request: IncomingMessage,
  { maxBodyBytes, budget }: ReceiveTextOptions,
  done: (error: Error | null, text?: string) => void,
): Holding {
  const collector = collectBytes({ maxBytes: maxBodyBytes });
  const token = request.headers.authorization ?? '';
  const holding = budget.hold({
    owner: token,
    onEvict() {
      fail(new NoMemoryError('There is no memory left for the body.'));
    },
  });
  let isOver = false;

  function fail(error: Error): void {
    if (isOver) return;
    isOver = true;
    request.off('data', onData);
    request.resume();
    holding.release();
    done(error);
  }

  function onData(chunk: Buffer): void {
    const heldBytes = collector.heldBytes();
    if (!collector.add(chunk)) {
      fail(new fastify.errorCodes.FST_ERR_CTP_BODY_TOO_LARGE());
    } else if (collector.heldBytes() !== heldBytes) {
      if (holding.resize(collector.heldBytes())) return;
      fail(new NoMemoryError('There is no memory left for the body.'));
    }
  }

  request.on('data', onData);
  request.on('end', () => {
    if (isOver) return;
    isOver = true;
    const text = new TextDecoder().decode(collector.bytes());
    holding.settle();
    done(null, text);
  });
  return holding;
}
