import {
  createServer,
  type IncomingMessage,
  request as httpRequest,
  type RequestListener,
  type Server,
} from 'node:http';
import { gunzipSync, gzipSync } from 'node:zlib';
import { collectBytes } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import { identity } from 'fp-ts/lib/function.js';
import { limitFraming, MAX_HEAD_BYTES } from '../limitFraming/index.ts';
import { watchResponseEnd } from '../watchResponseEnd/index.ts';

const HTTP_OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

const GZIP = 'gzip';

/** Most of the ratio at the least processor time. */
const GZIP_LEVEL = 1;

/**
 * Maximum size of a value: several times a configuration, which is stored in at
 * most 1 MiB, or a list of thousands of targets.
 */
const MAX_VALUE_BYTES = 16 * 1024 * 1024;

const TOO_LARGE: FetchError = {
  type: 'failed',
  reason: 'response too large',
};

/** A value that a peer serves. */
export interface JsonSource {
  /** IP and port of the peer. */
  readonly address: string;
  readonly path: string;
  /** Time limit for the complete response. */
  readonly timeoutMs: number;
}

/** Why a value could not be fetched. */
export type FetchError =
  /** The peer serves as many others as it can, and has sent nothing. */
  | { readonly type: 'busy' }
  | { readonly type: 'failed'; readonly reason: string };

/** A value that was fetched, and what that took. */
export interface Fetched<T> {
  readonly value: T;
  /** Size of the response body. */
  readonly bytes: number;
  /** Time from the call to the last byte. */
  readonly fetchMs: number;
  /** Time to decompress, parse and check the value. */
  readonly decodeMs: number;
}

/** Options of {@link answerJson}. */
export interface AnswerJsonOptions<T> {
  /** Responses in progress at once, beyond which callers are told to ask another peer;
   * unlimited by default. */
  readonly maxResponses?: number;
  /** Time after which a response is broken off, so that callers that do not read leave
   * room for others; 2 s by default. */
  readonly responseTimeoutMs?: number;
  /** Converts a value to what JSON can hold; returns it as it is by default. */
  readonly encodeValue?: (value: T) => unknown;
}

/** Longer than callers wait. */
const RESPONSE_TIMEOUT_MS = 2000;

/**
 * Creates a server from which peers fetch a value as JSON.
 *
 * @param path - Path of the value.
 * @param current - Returns the value, or undefined while there is none.
 * @param options - Limits and encoding of responses.
 * @returns The server, not yet listening.
 *
 * @example
 * serveJson('/config', () => config).listen(7340);
 */
export function serveJson<T>(
  path: string,
  current: () => T | undefined,
  options: AnswerJsonOptions<T> = {},
): Server {
  return createServer(answerJson(path, current, options));
}

/** A value and its compressed JSON. */
interface Encoded<T> {
  readonly value: T;
  readonly bytes: Buffer;
}

/**
 * Creates the listener of such a server. Values are compressed once for all callers.
 * A build that accepts no compression does not try another peer either, so it is
 * always served.
 *
 * @param path - Path of the value.
 * @param current - Returns the value, or undefined while there is none.
 * @param options - Limits and encoding of responses.
 * @returns The listener.
 *
 * @example
 * createServer(answerJson('/config', () => config));
 */
export function answerJson<T>(
  path: string,
  current: () => T | undefined,
  options: AnswerJsonOptions<T> = {},
): RequestListener {
  const {
    maxResponses = Infinity,
    responseTimeoutMs = RESPONSE_TIMEOUT_MS,
    encodeValue = identity,
  } = options;
  let latest: Encoded<T> | undefined;
  let responses = 0;

  function compress(value: T): Buffer {
    if (latest === undefined || latest.value !== value) {
      const text = JSON.stringify(encodeValue(value));
      latest = { value, bytes: gzipSync(text, { level: GZIP_LEVEL }) };
    }
    return latest.bytes;
  }

  return (request, response) => {
    const value = current();
    if (request.url !== path || value === undefined) {
      response.writeHead(NOT_FOUND, { connection: 'close' }).end();
      return;
    }
    if (request.headers['accept-encoding'] !== GZIP) {
      response.writeHead(HTTP_OK, { connection: 'close' });
      response.end(JSON.stringify(encodeValue(value)));
      return;
    }
    if (responses >= maxResponses) {
      response.writeHead(UNAVAILABLE, { connection: 'close' }).end();
      return;
    }
    responses += 1;
    const timer = setTimeout(() => {
      request.socket.destroy();
    }, responseTimeoutMs);
    response.once('close', () => {
      clearTimeout(timer);
      responses -= 1;
    });
    const bytes = compress(value);
    response.writeHead(HTTP_OK, {
      connection: 'close',
      'content-encoding': GZIP,
      'content-length': bytes.length,
    });
    response.end(bytes);
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
  done: (result: E.Either<FetchError, Fetched<T>>) => void,
): void {
  const [host = '', port = ''] = source.address.split(':');
  const startedAtMs = performance.now();
  const body = collectBytes({ maxBytes: MAX_VALUE_BYTES });
  let isOver = false;
  const finish = (result: E.Either<FetchError, Fetched<T>>): void => {
    if (isOver) return;
    isOver = true;
    clearTimeout(timer);
    call.destroy();
    done(result);
  };
  const fail = (reason: string): void => {
    finish(E.left({ type: 'failed', reason }));
  };
  const timer = setTimeout(() => {
    fail('request timed out');
  }, source.timeoutMs);
  const call = httpRequest(
    {
      host,
      port: Number(port),
      path: source.path,
      headers: { 'accept-encoding': GZIP },
      agent: false,
      maxHeaderSize: MAX_HEAD_BYTES,
    },
    (response) => {
      response.on('data', (chunk: Buffer) => {
        if (!body.add(chunk)) finish(E.left(TOO_LARGE));
      });
    },
  );
  watchResponseEnd(call, {
    onComplete(response) {
      if (isOver) return;
      const receivedAtMs = performance.now();
      const bytes = Buffer.from(body.bytes());
      const value = readBody(response, bytes, decode);
      const times = {
        bytes: bytes.length,
        fetchMs: receivedAtMs - startedAtMs,
        decodeMs: performance.now() - receivedAtMs,
      };
      finish(E.map((read: T) => ({ value: read, ...times }))(value));
    },
    onBroken: fail,
  });
  limitFraming(call, () => {
    finish(E.left(TOO_LARGE));
  });
  call.on('error', (error) => {
    fail(error.message);
  });
  call.end();
}

function readBody<T>(
  { statusCode, headers }: IncomingMessage,
  bytes: Buffer,
  decode: (value: unknown) => E.Either<string, T>,
): E.Either<FetchError, T> {
  if (statusCode === UNAVAILABLE) return E.left({ type: 'busy' });
  const failed = (reason: string): FetchError => ({ type: 'failed', reason });
  if (statusCode !== HTTP_OK) {
    return E.left(failed(`unexpected status ${statusCode ?? 0}`));
  }
  try {
    const isCompressed = headers['content-encoding'] === GZIP;
    const text = isCompressed
      ? gunzipSync(bytes, { maxOutputLength: MAX_VALUE_BYTES })
      : bytes;
    return E.mapLeft(failed)(decode(JSON.parse(text.toString('utf8'))));
  } catch (error) {
    return E.left(failed(String(error)));
  }
}
