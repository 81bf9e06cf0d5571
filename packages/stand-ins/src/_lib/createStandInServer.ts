import type { AddressInfo, Socket } from 'node:net';
import fastify, { type FastifyInstance, type FastifyRequest } from 'fastify';

/** Largest request body that a stand-in accepts. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** An HTTP server with fault injection for its connections and its listener. */
export interface StandInServer {
  readonly app: FastifyInstance;
  readonly url: () => string;
  readonly listen: () => Promise<void>;
  /** Closes every connection and refuses new ones until `bringUp`. */
  readonly takeDown: () => void;
  readonly bringUp: () => Promise<void>;
  /** Stops answering on the open connections for good; new ones work. */
  readonly silenceOpenConnections: () => void;
  /** Stops answering on one connection for good. */
  readonly silence: (socket: Socket) => void;
  readonly isSilent: (socket: Socket) => boolean;
  readonly close: () => Promise<void>;
}

/** Options of {@link createStandInServer}. */
export interface StandInServerOptions {
  /** Port to listen on; 0 picks a free one. */
  readonly port?: number;
  readonly host?: string;
}

/**
 * Creates an HTTP server for a stand-in. Routes must be added before `listen`.
 *
 * @param options - Address to listen on.
 * @returns The server and its fault controls.
 */
export function createStandInServer(
  options: StandInServerOptions,
): StandInServer {
  const host = options.host ?? '127.0.0.1';
  const app = fastify({
    bodyLimit: MAX_BODY_BYTES,
    forceCloseConnections: true,
    routerOptions: { maxParamLength: 1_024 },
  });
  const sockets = new Set<Socket>();
  const silencedSockets = new WeakSet<Socket>();
  let port = options.port ?? 0;
  let isDown = false;

  app.server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  app.addHook('onRequest', async (request, reply) => {
    if (!silencedSockets.has(request.socket)) return;
    reply.hijack();
    await Promise.resolve();
  });

  const destroySockets = (): void => {
    sockets.forEach((socket) => socket.destroy());
  };

  return {
    app,
    url: () => `http://${host}:${port}`,
    listen: async () => {
      await app.listen({ host, port });
      port = (app.server.address() as AddressInfo).port;
    },
    takeDown: () => {
      if (isDown) return;
      isDown = true;
      app.server.close();
      destroySockets();
    },
    bringUp: async () => {
      if (!isDown) return;
      await new Promise<void>((resolve, reject) => {
        app.server.once('error', reject);
        app.server.listen(port, host, () => {
          app.server.off('error', reject);
          resolve();
        });
      });
      isDown = false;
    },
    silenceOpenConnections: () => {
      sockets.forEach((socket) => silencedSockets.add(socket));
    },
    silence: (socket) => {
      silencedSockets.add(socket);
    },
    isSilent: (socket) => silencedSockets.has(socket),
    close: async () => {
      destroySockets();
      if (isDown) return;
      await app.close();
    },
  };
}

/**
 * Returns one header of a request.
 *
 * @param request - The request.
 * @param name - Header name in lower case.
 * @returns Its value, or `undefined` when it is absent or repeated.
 */
export function headerOf(
  request: FastifyRequest,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}
