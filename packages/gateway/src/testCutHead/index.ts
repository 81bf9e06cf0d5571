import { createServer } from 'node:net';

/** A server of {@link startCuttingServer}. */
export interface CuttingServer {
  /** IP and port. */
  readonly address: string;
  /** What is written to the next request before its connection ends. */
  readonly answerWith: (bytes: string, end: ConnectionEnd) => void;
  readonly stop: () => void;
}

/** How a connection ends: `fin` after all bytes, or `reset`. */
export type ConnectionEnd = 'fin' | 'reset';

/** An early end of a response. */
export interface CutHead {
  readonly bytes: string;
  readonly end: ConnectionEnd;
}

/** Cuts in the first line and in the middle of names, values and line ends. */
const CUT_INTERVAL_BYTES = 3;

const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';

/**
 * Lists responses that end within their head: plain ones, those without a length, and
 * those after an interim response.
 *
 * @param headers - Headers of the successful response, each with its line end.
 * @returns The responses, cut at every third byte and before the last one.
 *
 * @example
 * cutHeads('x-request: a1\r\n');
 */
export function cutHeads(headers: string): readonly CutHead[] {
  const start = `HTTP/1.1 200 OK\r\n${headers}`;
  const heads = [
    `${start}Content-Length: 0\r\n\r\n`,
    `${start}\r\n`,
    `${INTERIM}${start}Content-Length: 2\r\n\r\n`,
  ];
  return heads.flatMap((head) => {
    const lengths = Array.from(
      { length: Math.floor(head.length / CUT_INTERVAL_BYTES) },
      (_, index) => index * CUT_INTERVAL_BYTES,
    );
    return [...lengths, head.length - 1].flatMap((length) =>
      (['fin', 'reset'] as const).map((end) => ({
        bytes: head.slice(0, length),
        end,
      })),
    );
  });
}

/**
 * Starts a server for tests that ends each connection after a response or a part of one.
 *
 * @returns The server.
 *
 * @example
 * const server = await startCuttingServer();
 */
export async function startCuttingServer(): Promise<CuttingServer> {
  let bytes = '';
  let end: ConnectionEnd = 'fin';
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      if (end === 'fin') socket.end(bytes);
      else socket.write(bytes, () => socket.resetAndDestroy());
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  if (bound === null || typeof bound === 'string') throw new Error('no port');
  return {
    address: `127.0.0.1:${bound.port}`,
    answerWith(nextBytes, nextEnd) {
      bytes = nextBytes;
      end = nextEnd;
    },
    stop: () => server.close(),
  };
}
