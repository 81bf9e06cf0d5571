import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from 'node:http';
import type { Socket } from 'node:net';
import type { SendEnd } from '@endivegate/core/forwarding';
import type {
  ConnectionPool,
  PooledConnection,
} from '../createConnectionPool/index.ts';
import type { HttpDialect, TargetHead } from '../httpDialect/index.ts';

/** One send of a request to one target. */
export interface OutgoingRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Buffer;
  readonly attemptId: string;
  /** Whether only a new connection may carry it. */
  readonly freshConnection: boolean;
}

/** The head of an answer that belongs to the request. */
export interface AnswerHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly target: TargetHead;
}

/** Receives what becomes of a send; `onEnd` comes once and last. */
export interface SendHandlers {
  /** The request is about to be written: from now on it may run. */
  readonly onSent: () => void;
  readonly onHead: (head: AnswerHead) => void;
  readonly onBody: (chunk: Buffer) => void;
  readonly onEnd: (end: SendEnd, head: TargetHead | undefined) => void;
}

/** A send that is under way. */
export interface RunningSend {
  /** Closes its connection; no handler is called afterwards. */
  readonly cancel: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** What {@link sendRequest} needs. */
export interface SendRequestContext {
  readonly pool: ConnectionPool;
  readonly dialect: HttpDialect;
}

const MISDIRECTED = 421;
const SUCCESS_FROM = 200;
const SUCCESS_BELOW = 300;
const MS_PER_S = 1000;

/**
 * Written when an answer without a length ends. A reset that arrives together
 * with the last bytes is reported by the runtime as an orderly end; a write
 * tells the two apart, and an empty line before a request means nothing.
 */
const RESET_PROBE = '\r\n';

/** Idle connections are used up to this long before the target closes them. */
const IDLE_MARGIN_MS = 1000;

/** How long an idle connection is kept when the target states no time. */
const DEFAULT_IDLE_MS = 1500;

/** Longest time for which an idle connection is kept. */
const LONGEST_IDLE_MS = 5000;

/**
 * Sends a request to a target and reports the answer as it arrives.
 *
 * An answer that does not bear the request's attempt id, or a success that the
 * target does not sign, is reported as broken, as is one that ends before its
 * end. The connection is used again only after a whole answer.
 *
 * @param outgoing - The request.
 * @param handlers - Receive what becomes of it.
 * @param context - Connections and the deployment's headers.
 * @returns The running send.
 *
 * @example
 * const send = sendRequest(outgoing, handlers, { pool, dialect });
 */
export function sendRequest(
  outgoing: OutgoingRequest,
  handlers: SendHandlers,
  context: SendRequestContext,
): RunningSend {
  let isOver = false;
  let request: ClientRequest | undefined;
  let answer: IncomingMessage | undefined;
  let head: TargetHead | undefined;

  function end(result: SendEnd): void {
    if (isOver) return;
    isOver = true;
    if (result.type !== 'answered' && result.type !== 'refused') {
      request?.destroy();
    }
    handlers.onEnd(result, head);
  }

  function start(connection: PooledConnection): void {
    const { socket } = connection;
    let isCut = false;
    const noteCut = (): void => {
      isCut = true;
    };
    const probeForReset = (): void => {
      if (isOver || answer === undefined || !isUnframed(answer)) return;
      socket.write(RESET_PROBE, (error) => {
        if (error !== null && error !== undefined) noteCut();
      });
    };
    socket.once('error', noteCut);
    socket.prependOnceListener('end', probeForReset);
    handlers.onSent();
    request = openRequest(outgoing, socket);
    request.on('error', (error) => {
      end({ type: 'broken', reason: error.message });
    });
    request.on('response', (response) => {
      answer = response;
      readAnswer(response, () => isCut);
    });
    socket.once('free', () => {
      socket.off('error', noteCut);
      socket.off('end', probeForReset);
      const wasWhole = isOver && answer?.complete === true && !isCut;
      context.pool.release(
        outgoing.address,
        socket,
        wasWhole ? idleMsOf(answer) : 0,
      );
    });
    request.end(outgoing.body);
  }

  function readAnswer(response: IncomingMessage, isCut: () => boolean): void {
    const status = response.statusCode ?? 0;
    head = context.dialect.readTarget(status, response.headers);
    const problem = problemOf(status, head, response, outgoing.attemptId);
    if (problem !== undefined) {
      end({ type: 'broken', reason: problem });
      return;
    }
    const isRefusal = head.notExecuted || status === MISDIRECTED;
    if (!isRefusal) {
      handlers.onHead({
        status,
        rawHeaders: response.rawHeaders,
        target: head,
      });
    }
    response.on('data', (chunk: Buffer) => {
      if (!isOver && !isRefusal) handlers.onBody(chunk);
    });
    response.on('error', (error) => {
      end({ type: 'broken', reason: error.message });
    });
    const judge = (): void => {
      if (isCut() || !response.complete) {
        end({ type: 'broken', reason: 'connection reset in the answer' });
        return;
      }
      end({ type: isRefusal ? 'refused' : 'answered', status });
    };
    response.on('end', () => {
      if (isUnframed(response)) setImmediate(judge);
      else judge();
    });
  }

  const stopConnecting = context.pool.acquire(
    { address: outgoing.address, fresh: outgoing.freshConnection },
    (result) => {
      if (isOver) return;
      if ('type' in result) end({ type: 'notSent', reason: result.reason });
      else start(result);
    },
  );
  return {
    cancel() {
      if (isOver) return;
      isOver = true;
      stopConnecting();
      request?.destroy();
    },
    pause: () => answer?.pause(),
    resume: () => answer?.resume(),
  };
}

function openRequest(outgoing: OutgoingRequest, socket: Socket): ClientRequest {
  const agent = Object.assign(new Agent({ keepAlive: true }), {
    addRequest(request: ClientRequest): void {
      request.onSocket(socket);
    },
  });
  const request = httpRequest({
    agent,
    method: outgoing.method,
    path: outgoing.path,
    setHost: false,
    headers: outgoing.headers.flat(),
    insecureHTTPParser: false,
  });
  return request;
}

function problemOf(
  status: number,
  head: TargetHead,
  response: IncomingMessage,
  attemptId: string,
): string | undefined {
  const isSuccess = status >= SUCCESS_FROM && status < SUCCESS_BELOW;
  const isForeign =
    head.attemptId !== undefined && head.attemptId !== attemptId;
  if (isForeign) return 'answer to another request';
  if (!isSuccess) return undefined;
  if (head.attemptId === undefined) return 'success without the request id';
  if (!head.isSigned) return 'success without a signature';
  return response.headers['content-encoding'] === undefined
    ? undefined
    : 'encoded body';
}

/** Whether the answer ends with its connection. */
function isUnframed(answer: IncomingMessage): boolean {
  const { headers } = answer;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/** How long the connection may stay idle, by the answer's own statement. */
function idleMsOf(answer: IncomingMessage | undefined): number {
  const stated = /timeout=(\d+)/.exec(String(answer?.headers['keep-alive']));
  const statedMs =
    stated === null
      ? DEFAULT_IDLE_MS
      : Number(stated[1]) * MS_PER_S - IDLE_MARGIN_MS;
  return Math.min(statedMs, LONGEST_IDLE_MS);
}
