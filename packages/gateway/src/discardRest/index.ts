import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** Options of {@link discardRest}. */
export interface DiscardRestOptions {
  /** Bytes that may follow while the connection stays open for further requests; 64 KiB by
   * default. */
  readonly maxKeptBytes?: number;
  /** Time for them; 5 s by default. */
  readonly keptMs?: number;
  /** Closes the connection by `destroySoon` once all of its responses have been sent. */
  readonly closeOnceAnswered: (socket: Socket) => void;
}

/** Options of {@link closeLingering}. */
export interface CloseLingeringOptions {
  /** Bytes that are read and dropped; 16 MiB by default. */
  readonly maxBytes?: number;
  /** Time for which they are, from the end of the last response; 2 s by default. */
  readonly lingerMs?: number;
}

const KIB = 1024;
const MAX_KEPT_BYTES = 64 * KIB;
const KEPT_MS = 5000;
const MAX_LINGERING_BYTES = 16 * KIB * KIB;
const LINGER_MS = 2000;

const lingering = new WeakSet<Duplex>();

/**
 * Reads the rest of a request that is refused, so that its connection can be used again.
 * The connection is closed if the rest is large or late.
 *
 * @param request - The request.
 * @param options - Limits, and when the connection may be closed.
 *
 * @example
 * discardRest(request, { closeOnceAnswered });
 */
export function discardRest(
  request: IncomingMessage,
  options: DiscardRestOptions,
): void {
  const { maxKeptBytes = MAX_KEPT_BYTES, keptMs = KEPT_MS } = options;
  const { socket } = request;
  const bytesBefore = socket.bytesRead;
  request.resume();
  // The body of an ordinary request has mostly been received with its head.
  setImmediate(() => {
    if (request.complete || socket.destroyed || lingering.has(socket)) return;
    const timer = setTimeout(giveUp, keptMs);
    const count = (): void => {
      if (socket.bytesRead - bytesBefore > maxKeptBytes) giveUp();
    };
    const stop = (): void => {
      clearTimeout(timer);
      socket.off('data', count);
    };
    // With a listener, Node parses what it has read when it emits it.
    socket.on('data', count);
    request.once('end', stop);
    request.once('close', stop);

    function giveUp(): void {
      stop();
      closeLingering(socket);
      options.closeOnceAnswered(socket);
    }
  });
}

/**
 * Returns whether a connection will be closed, and what arrives on it is dropped.
 *
 * @param socket - The connection.
 * @returns True after {@link closeLingering}.
 *
 * @example
 * if (isLingering(request.socket)) return;
 */
export function isLingering(socket: Duplex): boolean {
  return lingering.has(socket);
}

/**
 * Prepares a connection to be closed while its client still sends. What arrives is dropped
 * without being parsed. Once the last response has been sent, the connection is closed for
 * writing, and only later for reading: unread bytes would make the close a reset, in which
 * the response may be lost.
 *
 * @param socket - The connection of a request that is not read on. Its last response, or the
 * caller of `destroySoon`, closes it.
 * @param options - Limits.
 *
 * @example
 * closeLingering(request.socket);
 * response.writeHead(413, { connection: 'close' }).end();
 */
export function closeLingering(
  socket: Socket,
  options: CloseLingeringOptions = {},
): void {
  const { maxBytes = MAX_LINGERING_BYTES, lingerMs = LINGER_MS } = options;
  if (lingering.has(socket) || socket.destroyed) return;
  lingering.add(socket);
  const bytesBefore = socket.bytesRead;
  const drop = (): void => {
    if (socket.bytesRead - bytesBefore <= maxBytes) return;
    if (socket.writableEnded) socket.destroy();
    // Responses to earlier requests are still to be sent.
    else socket.pause();
  };
  // Node stops parsing natively once there is a listener.
  socket.on('data', drop);
  socket.listeners('data').forEach((listener) => {
    if (listener !== drop) socket.off('data', listener as typeof drop);
  });
  socket.resume();
  const destroySoon = socket.destroySoon.bind(socket);
  socket.destroySoon = () => {
    if (socket.bytesRead - bytesBefore > maxBytes || socket.readableEnded) {
      destroySoon();
      return;
    }
    socket.end();
    const timer = setTimeout(() => socket.destroy(), lingerMs);
    socket.once('end', destroySoon);
    socket.once('close', () => {
      clearTimeout(timer);
    });
  };
}
