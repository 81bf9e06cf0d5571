import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { headProblem } from '../headProblem/index.ts';

/** Callbacks of {@link watchResponseEnd}; one of them is called for a response that ends. */
export interface ResponseEndHandlers {
  /** The response has ended, and nothing of it is missing. */
  readonly onComplete: (response: IncomingMessage) => void;
  readonly onBroken: (reason: string) => void;
}

/**
 * Written when a connection ends that marks the end of its response. Node reports a reset
 * that arrives together with the last bytes as a regular end; writing to the socket
 * reveals the reset. Servers ignore an empty line before a request.
 */
const RESET_PROBE = '\r\n';

const CUT = 'connection closed before the response was complete';

/**
 * Tells whether a response is valid and complete when it ends.
 *
 * A response with a length or chunks is complete when its framing says so. Any other one
 * ends with its connection, and is complete only if the server closed the connection in
 * order after the whole request had been written: a failure of the connection is not always
 * reported, in particular while a part of the request waits to be written.
 *
 * @param request - The request, before it has a socket.
 * @param handlers - Called after the last byte of the response's body.
 *
 * @example
 * watchResponseEnd(request, { onComplete: ({ headers }) => use(headers), onBroken: fail });
 */
export function watchResponseEnd(
  request: ClientRequest,
  { onComplete, onBroken }: ResponseEndHandlers,
): void {
  let response: IncomingMessage | undefined;
  let isCut = false;
  const cutProblem = ({ complete }: IncomingMessage): string | undefined =>
    isCut || !complete ? CUT : undefined;
  const cut = (): void => {
    if (response?.complete === false) isCut = true;
  };
  request.once('socket', (socket: Socket) => {
    const checkEnd = (): void => {
      if (response?.complete === false && !isWritable(socket)) isCut = true;
    };
    // Before Node's own listeners, which end the response as if it were complete.
    socket.prependOnceListener('end', checkEnd);
    socket.prependOnceListener('error', cut);
    socket.prependOnceListener('close', cut);
    // An agent may use the connection for other requests.
    socket.once('free', () => {
      socket.off('end', checkEnd);
      socket.off('error', cut);
      socket.off('close', cut);
    });
  });
  request.once('response', (received) => {
    response = received;
    received.once('error', (error) => {
      onBroken(error.message);
    });
    received.once('end', () => {
      const problem = headProblem(received) ?? cutProblem(received);
      if (problem === undefined) onComplete(received);
      else onBroken(problem);
    });
  });
}

/** Whether all bytes so far were written, and one more write succeeds at once. */
function isWritable(socket: Socket): boolean {
  if (socket.writableLength > 0) return false;
  socket.write(RESET_PROBE);
  return socket.writableLength === 0 && socket.errored === null;
}
