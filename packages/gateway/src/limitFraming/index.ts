import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Maximum size of a response's head; passed to Node as `maxHeaderSize`. */
export const MAX_HEAD_BYTES = 32 * 1024;

/**
 * Bytes that a response may have beside its body: informational heads, its own
 * head, chunk framing and trailers. A paused response holds back some body
 * bytes, which are counted as framing until they are read.
 */
const MAX_FRAMING_BYTES = 1024 * 1024;

/**
 * Framing allowed in addition for each byte of the body. Framing is 5 bytes for
 * a chunk of up to 15 bytes, so the limit refuses a body of more than 262,000
 * chunks of one byte, which cost far more processor time than memory.
 */
const FRAMING_PER_BODY_BYTE = 1;

/**
 * Informational responses before a response. Each costs far more processor time than its
 * bytes show; servers send a few.
 */
const MAX_INFORMATIONAL = 100;

/** Errors of Node's parser for a head or a chunk extension without end. */
const OVERFLOW_CODES: ReadonlySet<string> = new Set([
  'HPE_HEADER_OVERFLOW',
  'HPE_CHUNK_EXTENSIONS_OVERFLOW',
]);

/**
 * Limits what a server sends in response to a request beside the response's body. Node's parser drops several kinds of them without a limit,
 * for example empty lines before a head, or leading zeros of a chunk size.
 *
 * @param request - The request, before it has a socket.
 * @param onExcess - Called once or more when the limit is exceeded; it has to
 * destroy the request.
 *
 * @example
 * limitFraming(request, () => request.destroy(new Error('too large')));
 */
export function limitFraming(
  request: ClientRequest,
  onExcess: () => void,
): void {
  let receivedBytes = 0;
  let bodyBytes = 0;
  const count = (chunk: Buffer): void => {
    receivedBytes += chunk.length;
    const framingBytes = receivedBytes - bodyBytes;
    const maxBytes = MAX_FRAMING_BYTES + bodyBytes * FRAMING_PER_BODY_BYTE;
    if (framingBytes > maxBytes) onExcess();
  };
  request.once('socket', (socket: Socket) => {
    // The parser's listener comes first: it has seen the bytes counted here.
    socket.on('data', count);
    socket.once('free', () => {
      socket.off('data', count);
    });
  });
  request.once('response', (response) => {
    response.on('data', (chunk: Buffer) => {
      bodyBytes += chunk.length;
    });
  });
  let informational = 0;
  request.on('information', () => {
    informational += 1;
    if (informational > MAX_INFORMATIONAL) onExcess();
  });
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (OVERFLOW_CODES.has(error.code ?? '')) onExcess();
  });
}
