import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Obstacle, SendEnd } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type {
  ConnectionPool,
  PooledConnection,
} from '../createConnectionPool/index.ts';
import type { HttpDialect, TargetHead } from '../httpDialect/index.ts';
import { limitFraming, MAX_HEAD_BYTES } from '../limitFraming/index.ts';
import { responseProblem } from '../responseProblem/index.ts';
import { watchResponseEnd } from '../watchResponseEnd/index.ts';

/** A request as it is sent to a target. */
export interface OutgoingRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Buffer;
  readonly attemptId: string;
  /** Whether to use a new connection instead of a pooled one. */
  readonly freshConnection: boolean;
  /** Whether the receiver names the attempt in every response; true by default. Peers do
   * not in their own refusals. */
  readonly namesAttempt?: boolean;
}

/** Head of a response that belongs to the request. */
export interface ResponseHead {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly target: TargetHead;
}

/** Callbacks of a send. `onEnd` is called once, after all others. */
export interface SendHandlers {
  /** Called once there is a connection. Returns what forbids the send by now, if
   * anything does. */
  readonly obstacle?: () => Obstacle['obstacle'] | undefined;
  /** Called before the request is written; it may run from then on. */
  readonly onSent: () => void;
  /** Called with the head of every response, also of one that is broken or a
   * refusal, unless another process answered at the target's address. */
  readonly onTargetHead: (head: TargetHead) => void;
  readonly onHead: (head: ResponseHead) => void;
  readonly onBody: (chunk: Buffer) => void;
  readonly onEnd: (end: SendEnd, head: TargetHead | undefined) => void;
}

/** Handle of a send in progress. */
export interface RunningSend {
  /** Closes the connection. No handler is called afterwards. */
  readonly cancel: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Dependencies of {@link sendRequest}. */
export interface SendRequestContext {
  readonly pool: ConnectionPool;
  readonly dialect: HttpDialect;
}

const MISDIRECTED = 421;
const MS_PER_S = 1000;

const DOUBTFUL_REFUSAL =
  'refusal without an attempt id on a connection that was used before';

/** Attempts that were refused on a connection. */
const refusedAttempts = new WeakMap<Socket, Set<string>>();

/** A connection on which this many requests were refused is closed. */
const MAX_REFUSALS = 64;

/** Start of the error codes of Node's HTTP parser. */
const PARSE_ERROR_PREFIX = 'HPE_';

/** Maximum size of the body of a refusal, which is discarded. */
const MAX_REFUSAL_BYTES = 1024 * 1024;

/** Safety margin before the keep-alive timeout that the target announced. */
const IDLE_MARGIN_MS = 1000;

/** Keep-alive timeout if the target announces none. */
const DEFAULT_IDLE_MS = 1500;

/** Maximum time to keep an idle connection. */
const MAX_IDLE_MS = 5000;

/**
 * Sends a request to a target and reports the response as it arrives.
 *
 * A response is reported as broken if it is truncated or {@link responseProblem} finds
 * fault with its head. So is a refusal without an attempt id on a connection that was used
 * before: it may be an earlier one, repeated, while this request runs. The connection is
 * reused only after a complete response, and not for a request that was refused on it, as
 * a repeated refusal would have the same id.
 *
 * @param outgoing - The request.
 * @param handlers - Callbacks for the progress and the end of the send.
 * @param context - Connection pool and HTTP dialect.
 * @returns A handle to cancel, pause or resume the send.
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
  let currentResponse: IncomingMessage | undefined;
  let head: TargetHead | undefined;
  let isRefusal = false;
  let used: PooledConnection | undefined;

  function finish(result: SendEnd): void {
    if (isOver) return;
    isOver = true;
    if (result.type !== 'answered' && result.type !== 'refused') {
      request?.destroy();
    }
    handlers.onEnd(result, head);
  }

  function start(connection: PooledConnection): void {
    const { socket } = connection;
    used = connection;
    const opened = openRequest(outgoing, socket);
    if (E.isLeft(opened)) {
      context.pool.release(outgoing.address, socket, 0);
      finish({ type: 'notSent', reason: opened.left });
      return;
    }
    request = opened.right;
    handlers.onSent();
    limitFraming(request, () => {
      finish({
        type: 'broken',
        reason: 'too many bytes beside the body',
        oversized: 'framing',
      });
    });
    request.on('error', (error: NodeJS.ErrnoException) => {
      const isMalformed = error.code?.startsWith(PARSE_ERROR_PREFIX) === true;
      finish({
        type: 'broken',
        reason: error.message,
        ...(isMalformed ? { isMalformed } : {}),
      });
    });
    request.on('upgrade', (_response, upgraded) => {
      upgraded.destroy();
      finish({
        type: 'broken',
        reason: 'response switches protocols',
        isMalformed: true,
      });
    });
    request.on('response', (response) => {
      currentResponse = response;
      readResponse(response);
    });
    watchResponseEnd(request, {
      onComplete: reportComplete,
      onBroken(reason) {
        finish({ type: 'broken', reason });
      },
    });
    socket.once('free', () => {
      const wasComplete = isOver && currentResponse?.complete === true;
      const isKept =
        wasComplete && (refusedAttempts.get(socket)?.size ?? 0) < MAX_REFUSALS;
      context.pool.release(
        outgoing.address,
        socket,
        isKept ? keepAliveMsOf(currentResponse) : 0,
      );
    });
    request.end(outgoing.body);
  }

  function readResponse(response: IncomingMessage): void {
    const status = response.statusCode ?? 0;
    head = context.dialect.readTarget(status, response.headers);
    if (status !== MISDIRECTED) handlers.onTargetHead(head);
    isRefusal = head.notExecuted || status === MISDIRECTED;
    const problem =
      responseProblem(response, {
        attemptId: outgoing.attemptId,
        target: head,
      }) ?? (isRefusal && isDoubtful(head) ? DOUBTFUL_REFUSAL : undefined);
    if (problem !== undefined) {
      finish({ type: 'broken', reason: problem, isMalformed: true });
      return;
    }
    if (!isRefusal) {
      handlers.onHead({
        status,
        rawHeaders: response.rawHeaders,
        target: head,
      });
    }
    let refusalBytes = 0;
    response.on('data', (chunk: Buffer) => {
      if (isOver) return;
      if (!isRefusal) {
        handlers.onBody(chunk);
        return;
      }
      refusalBytes += chunk.length;
      if (refusalBytes <= MAX_REFUSAL_BYTES) return;
      finish({
        type: 'broken',
        reason: 'response too large',
        oversized: 'answer',
      });
    });
  }

  function reportComplete({ statusCode: status = 0 }: IncomingMessage): void {
    if (isOver) return;
    if (isRefusal && used !== undefined) {
      noteRefusal(used.socket, outgoing.attemptId);
    }
    finish({ type: isRefusal ? 'refused' : 'answered', status });
  }

  /** Whether a refusal may be one of an earlier request on its connection. */
  function isDoubtful({ attemptId }: TargetHead): boolean {
    const { namesAttempt = true } = outgoing;
    return used?.isReused === true && namesAttempt && attemptId === undefined;
  }

  const stopConnecting = context.pool.acquire(
    {
      address: outgoing.address,
      fresh: outgoing.freshConnection,
      accepts: (socket) =>
        refusedAttempts.get(socket)?.has(outgoing.attemptId) !== true,
    },
    (result) => {
      if (isOver) return;
      if ('type' in result) {
        finish({ type: 'notSent', reason: result.reason });
        return;
      }
      const obstacle = handlers.obstacle?.();
      if (obstacle === undefined) {
        start(result);
        return;
      }
      context.pool.release(outgoing.address, result.socket, 0);
      const reason = `the target became unavailable: ${obstacle}`;
      finish({ type: 'notSent', reason, obstacle });
    },
  );
  return {
    cancel() {
      if (isOver) return;
      isOver = true;
      stopConnecting();
      request?.destroy();
    },
    pause: () => currentResponse?.pause(),
    resume: () => currentResponse?.resume(),
  };
}

function noteRefusal(socket: Socket, attemptId: string): void {
  const refused = refusedAttempts.get(socket) ?? new Set<string>();
  refusedAttempts.set(socket, refused.add(attemptId));
}

/** Opens a request; a left is the reason why its head cannot be written, such as a name
 * with characters outside Latin-1. */
function openRequest(
  outgoing: OutgoingRequest,
  socket: Socket,
): E.Either<string, ClientRequest> {
  const agent = Object.assign(new Agent({ keepAlive: true }), {
    addRequest(request: ClientRequest): void {
      request.onSocket(socket);
    },
  });
  return E.tryCatch(
    () =>
      httpRequest({
        agent,
        method: outgoing.method,
        path: outgoing.path,
        setHost: false,
        headers: outgoing.headers.flat(),
        insecureHTTPParser: false,
        maxHeaderSize: MAX_HEAD_BYTES,
      }),
    String,
  );
}

/**
 * Returns how long the connection may be kept idle, from the Keep-Alive header.
 */
function keepAliveMsOf(response: IncomingMessage | undefined): number {
  const keepAlive = /timeout=(\d+)/.exec(
    String(response?.headers['keep-alive']),
  );
  const keepAliveMs =
    keepAlive === null
      ? DEFAULT_IDLE_MS
      : Number(keepAlive[1]) * MS_PER_S - IDLE_MARGIN_MS;
  return Math.min(keepAliveMs, MAX_IDLE_MS);
}
