import {
  createServer,
  request as httpRequest,
  type RequestListener,
  type Server,
} from 'node:http';
import { collectBytes } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import { limitFraming, MAX_HEAD_BYTES } from '../limitFraming/index.ts';

const HTTP_OK = 200;
const NOT_FOUND = 404;

/**
 * Maximum size of a value: several times a configuration, which is stored in at
 * most 1 MiB, or a list of thousands of targets.
 */
const MAX_VALUE_BYTES = 16 * 1024 * 1024;

const TOO_LARGE = 'response too large';

/** A value that a peer serves. */
export interface JsonSource {
  /** IP and port of the peer. */
  readonly address: string;
  readonly path: string;
  /** Time limit for the complete response. */
  readonly timeoutMs: number;
}

/**
 * Creates a server from which peers fetch a value as JSON.
 *
 * @param path - Path of the value.
 * @param current - Returns the value, or undefined while there is none.
 * @returns The server, not yet listening.
 *
 * @example
 * serveJson('/config', () => config).listen(7340);
 */
export function serveJson(path: string, current: () => unknown): Server {
  return createServer(answerJson(path, current));
}

/**
 * Creates the listener of such a server.
 *
 * @param path - Path of the value.
 * @param current - Returns the value, or undefined while there is none.
 * @returns The listener.
 *
 * @example
 * createServer(answerJson('/config', () => config));
 */
export function answerJson(
  path: string,
  current: () => unknown,
): RequestListener {
  return (request, response) => {
    const value = current();
    if (request.url !== path || value === undefined) {
      response.writeHead(NOT_FOUND, { connection: 'close' }).end();
      return;
    }
    response.writeHead(HTTP_OK, { connection: 'close' });
    response.end(JSON.stringify(value));
  };
}

/**
 * Fetches a value of at most {@link MAX_VALUE_BYTES} from a peer.
 *
 * @param source - Peer, path and time limit.
 * @param decode - Reads the parsed JSON; a left is the reason why it is invalid.
 * @param done - Receives the value, or the reason why there is none.
 *
 * @example
 * fetchJson({ address, path: '/config', timeoutMs: 1500 }, decode, done);
 */
export function fetchJson<T>(
  source: JsonSource,
  decode: (value: unknown) => E.Either<string, T>,
  done: (result: E.Either<string, T>) => void,
): void {
  const [host = '', port = ''] = source.address.split(':');
  let isOver = false;
  const finish = (result: E.Either<string, T>): void => {
    if (isOver) return;
    isOver = true;
    clearTimeout(timer);
    call.destroy();
    done(result);
  };
  const timer = setTimeout(() => {
    finish(E.left('request timed out'));
  }, source.timeoutMs);
  const call = httpRequest(
    {
      host,
      port: Number(port),
      path: source.path,
      agent: false,
      maxHeaderSize: MAX_HEAD_BYTES,
    },
    (response) => {
      const body = collectBytes({ maxBytes: MAX_VALUE_BYTES });
      response.on('data', (chunk: Buffer) => {
        if (!body.add(chunk)) finish(E.left(TOO_LARGE));
      });
      response.on('error', (error) => {
        finish(E.left(error.message));
      });
      response.on('end', () => {
        finish(
          readBody(response.statusCode, Buffer.from(body.bytes()), decode),
        );
      });
    },
  );
  limitFraming(call, () => {
    finish(E.left(TOO_LARGE));
  });
  call.on('error', (error) => {
    finish(E.left(error.message));
  });
  call.end();
}

function readBody<T>(
  status: number | undefined,
  bytes: Buffer,
  decode: (value: unknown) => E.Either<string, T>,
): E.Either<string, T> {
  if (status !== HTTP_OK) return E.left(`unexpected status ${status ?? 0}`);
  try {
    return decode(JSON.parse(bytes.toString('utf8')));
  } catch (error) {
    return E.left(String(error));
  }
}
