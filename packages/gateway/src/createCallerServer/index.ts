import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import {
  createByteBudget,
  newestReported,
  pickService,
  type RouteTable,
} from '@endivegate/core/forwarding';
import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import {
  createConnectionLimit,
  shareConnections,
} from '../createConnectionLimit/index.ts';
import {
  createErrorGuard,
  type ErrorGuard,
} from '../createErrorGuard/index.ts';
import { createParseTurns } from '../createParseTurns/index.ts';
import {
  createReply,
  type GatewayError,
  type Reply,
} from '../createReply/index.ts';
import {
  closeLingering,
  discardRest,
  isLingering,
} from '../discardRest/index.ts';
import { forwardRequest } from '../forwardRequest/index.ts';
import type { ForwardCall, ForwardContext } from '../forwardRequest/types.ts';
import type { CallerHead } from '../httpDialect/index.ts';
import {
  type BodyError,
  readBody,
  type ReceivedBody,
} from '../readBody/index.ts';
import { bodyFailures } from './_lib/bodyFailures.ts';
import { checkRequest, type CheckResult } from './_lib/checkRequest.ts';
import { createOpenRequests } from './_lib/openRequests.ts';
import {
  readRelay,
  RELAY_ANSWERED_BY_HEADER,
  type RelayAnsweredBy,
  type RelayHead,
  withoutRelayHeaders,
} from '../relayDialect/index.ts';

/** HTTP server for callers. */
export interface CallerServer {
  readonly server: Server;
  /** Serves a request that a peer relays. */
  readonly serveRelayed: RequestListener;
  /** Number of requests in progress. */
  readonly openRequests: () => number;
  /** Bytes received from callers since the start. */
  readonly receivedBytes: () => number;
  /** Closes connections without a request in progress. */
  readonly closeIdle: () => void;
}

/** Options of {@link createCallerServer}. */
export interface CreateCallerServerOptions {
  /** Whether this entry is shutting down. */
  readonly isLeaving: () => boolean;
  /** Memory of the machine in bytes; that of a small one by default. */
  readonly memoryBytes?: number | undefined;
  /** Descriptors that the process may have open; 4,096 by default. */
  readonly maxDescriptors?: number | undefined;
}

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;

/** Response to bytes that are not an HTTP request. */
const NOT_HTTP = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

/** Response to a request whose head was not read in time, so it has not run. */
const TIMEOUT = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n';

/** Code of Node's error for such a request. */
const HEAD_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Above any configured limit, so that the configured limits apply first. */
export const MAX_PARSED_HEADER_BYTES = 64 * 1024;

const DEFAULT_MEMORY_BYTES = 250_000_000;

/** Part of the machine's memory that open requests may take. */
const REQUEST_SHARE = 0.125;

/** Requests of a connection that are open at once. More are not read, and the connection is
 * closed after the answers to these. */
const MAX_PIPELINED = 8;

/** How often Node's HTTP server checks for header timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Retry-After while there is no usable configuration. */
const NO_CONFIG_RETRY_AFTER_MS = 300;

/**
 * Creates the server for callers. It checks each request against the active
 * configuration, buffers its body and forwards it. All open requests together take a part
 * of the machine's memory.
 *
 * @param context - State, connection pool and limits of the gateway.
 * @param options - Whether this entry is leaving, and limits of its machine.
 * @returns The server, not yet listening.
 *
 * @example
 * createCallerServer(context, { isLeaving: () => false }).server.listen(8080);
 */
export function createCallerServer(
  context: ForwardContext,
  options: CreateCallerServerOptions,
): CallerServer {
  const { runtime, log } = context;
  const sockets = new Set<Socket>();
  let bytesOfClosed = 0;
  const { memoryBytes = DEFAULT_MEMORY_BYTES } = options;
  const budget = createByteBudget({ maxBytes: memoryBytes * REQUEST_SHARE });
  const parseTurns = createParseTurns();
  const connections = createConnectionLimit({
    maxConnections: shareConnections(options.maxDescriptors).callers,
  });
  const openRequests = createOpenRequests();
  /** Connections whose last request is refused before it was read, once earlier ones are
   * answered. The rest of it may still arrive. */
  const refusedSockets = new WeakSet<Duplex>();
  /** Connections that are closed once all requests are answered. */
  const closingSockets = new WeakSet<Duplex>();

  const server = createServer(
    {
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    (request, response) => {
      serve(request, response, undefined);
    },
  );
  server.on('connection', (socket) => {
    sockets.add(socket);
    connections.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      connections.remove(socket);
      bytesOfClosed += socket.bytesRead;
    });
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    // Node reports a late head again and again.
    if (refusedSockets.has(socket) || isLingering(socket)) return;
    log.warn('caller.badRequest', { reason: error.message });
    const hasAnswerDue = openRequests.count(socket) > 0;
    const isLate = error.code === HEAD_TIMEOUT_CODE;
    if ((hasAnswerDue && !isLate) || !socket.writable) {
      socket.destroy();
      return;
    }
    refusedSockets.add(socket);
    if (!hasAnswerDue) refuse(socket, isLate ? TIMEOUT : NOT_HTTP);
  });
  runtime.onConfig(({ config }) => {
    server.keepAliveTimeout = config.limits.idleTimeoutMs;
    server.headersTimeout = config.limits.headerTimeoutMs;
  });

  function serve(
    request: IncomingMessage,
    response: ServerResponse,
    relay: RelayHead | undefined,
  ): void {
    guardOf(request, response)(handleRequest, undefined)(
      request,
      response,
      relay,
    );
  }

  /** Ends a request whose handling throws an error. It may have run. */
  function guardOf(
    request: IncomingMessage,
    response: ServerResponse,
  ): ErrorGuard {
    return createErrorGuard((error) => {
      const reason = error instanceof Error ? error.stack : undefined;
      log.warn('unexpectedError', {
        request: attemptOf(request),
        reason: reason ?? String(error),
      });
      if (!request.complete) dropRest(request);
      createReply(request, response, { isLastResponse: () => true }).fail({
        status: BAD_GATEWAY,
        message: 'the request could not be handled; it may have run',
      });
    });
  }

  function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    relay: RelayHead | undefined,
  ): void {
    const { socket, headers } = request;
    if (headers['transfer-encoding'] !== undefined) parseTurns.add(socket);
    const hasTooMany = openRequests.count(socket) >= MAX_PIPELINED;
    if (hasTooMany) closeOnceAnswered(socket);
    if (
      hasTooMany ||
      refusedSockets.has(socket) ||
      !openRequests.add(request, response)
    ) {
      log.info('request.ignored', { request: attemptOf(request) });
      dropRest(request);
      return;
    }
    if (relay === undefined) connections.setPhase(socket, 'reading');
    response.once('close', () => {
      const isAnswered = openRequests.count(socket) === 0;
      if (isAnswered && relay === undefined) {
        connections.setPhase(socket, 'idle');
      }
      if (isAnswered && closingSockets.has(socket)) socket.destroySoon();
      const isRefused = refusedSockets.has(socket) && socket.writable;
      if (isAnswered && isRefused) refuse(socket, TIMEOUT);
    });
    const reply = createReply(request, response, {
      isLastResponse: () => options.isLeaving() && openRequests.isLast(request),
      stallTimeoutMs: () => runtime.table()?.config.limits.idleTimeoutMs ?? 0,
    });
    const table = runtime.table();
    if (table === undefined) {
      reject(request, reply, {
        status: UNAVAILABLE,
        message: 'no configuration yet',
        retryAfterMs: NO_CONFIG_RETRY_AFTER_MS,
        isLocal: true,
      });
      return;
    }
    if (relay !== undefined && table.config.version < relay.configVersion) {
      reject(request, reply, {
        status: UNAVAILABLE,
        message: 'older configuration than the relaying entry',
        retryAfterMs: NO_CONFIG_RETRY_AFTER_MS,
        isLocal: true,
      });
      return;
    }
    const caller = context.dialect.readCaller(request.headers);
    const checked = checkRequest(request, {
      table,
      caller,
      isRelayed: relay !== undefined,
    });
    if (checked.type === 'rejected') reject(request, reply, checked.failure);
    else accept(request, response, { reply, table, caller, checked, relay });
  }

  function closeOnceAnswered(socket: Socket): void {
    closingSockets.add(socket);
    if (openRequests.count(socket) === 0) socket.destroySoon();
  }

  function attemptOf({ headers }: IncomingMessage): string {
    return String(headers[context.dialect.attemptIdHeader] ?? '');
  }

  function reject(
    request: IncomingMessage,
    reply: Reply,
    failure: GatewayError,
  ): void {
    log.info('request.rejected', {
      request: attemptOf(request),
      status: failure.status,
      reason: failure.message,
      path: request.url,
      configVersion: runtime.table()?.config.version,
      newestVersion: newestReported(runtime.state().configSync),
    });
    context.metrics.ended({ rule: 'none', end: `rejected${failure.status}` });
    if (failure.closeConnection === true) dropRest(request);
    else discardRest(request, { closeOnceAnswered });
    reply.fail(failure);
  }

  function accept(
    request: IncomingMessage,
    response: ServerResponse,
    accepted: {
      readonly reply: Reply;
      readonly table: RouteTable;
      readonly caller: CallerHead;
      readonly checked: Extract<CheckResult, { type: 'accepted' }>;
      readonly relay: RelayHead | undefined;
    },
  ): void {
    const { reply, table, caller, checked, relay } = accepted;
    const arrivedAtMs = context.now() - (relay?.ageMs ?? 0);
    const { maxBodyBytes, idleTimeoutMs } = table.config.limits;
    const waitMs = Math.min(
      checked.route.timeoutMs,
      caller.deadlineMs ?? Infinity,
    );
    const options = {
      maxBytes: maxBodyBytes,
      budget,
      owner: checked.workspace ?? '',
      timeoutMs: arrivedAtMs + waitMs - context.now(),
      idleTimeoutMs,
    };
    const guard = guardOf(request, response);
    const onRead = (read: E.Either<BodyError, ReceivedBody>): void => {
      if (E.isLeft(read)) {
        reject(request, reply, bodyFailures(maxBodyBytes)[read.left]);
        return;
      }
      const { bytes: body, release } = read.right;
      if (relay === undefined) connections.setPhase(request.socket, 'serving');
      response.once('close', release);
      if (response.closed || request.socket.destroyed) release();
      const name = pickService(checked.route, Math.random());
      const service = table.servicesByName.get(name ?? '');
      if (service === undefined) {
        reject(request, reply, {
          status: UNAVAILABLE,
          message: 'the route has no service',
          retryAfterMs: NO_CONFIG_RETRY_AFTER_MS,
        });
        return;
      }
      const call: ForwardCall = {
        attemptId: caller.attemptId ?? '',
        route:
          relay === undefined
            ? checked.route
            : withAttempts(checked.route, relay),
        isRelayed: relay !== undefined,
        service,
        workspace: checked.workspace,
        priority: checked.priority,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        rawHeaders: withoutRelayHeaders(request.rawHeaders),
        caller,
        body,
        arrivedAtMs,
      };
      forwardRequest(call, reply, context);
    };
    readBody(request, options, guard(onRead, undefined));
  }

  function serveRelayed(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const relay = readRelay(request.headers);
    const by: RelayAnsweredBy = 'target';
    response.setHeader(RELAY_ANSWERED_BY_HEADER, by);
    context.metrics.relayed({ side: 'received' });
    log.info('request.relayed', {
      request: attemptOf(request),
      ageMs: relay?.ageMs,
      attempts: relay?.attempts,
    });
    serve(request, response, relay);
  }

  return {
    server,
    serveRelayed,
    openRequests: () => openRequests.count(),
    receivedBytes: () =>
      [...sockets].reduce(
        (bytes, socket) => bytes + socket.bytesRead,
        bytesOfClosed,
      ),
    closeIdle() {
      [...sockets]
        .filter((socket) => openRequests.count(socket) === 0)
        .forEach((socket) => {
          socket.destroySoon();
        });
    },
  };
}

/** Ends a connection with a response to what is not a request. */
function refuse(socket: Duplex, response: string): void {
  if (!(socket instanceof Socket)) {
    socket.end(response);
    return;
  }
  closeLingering(socket);
  socket.write(response);
  socket.destroySoon();
}

/** Drops the rest of a request whose connection is going to be closed. */
function dropRest(request: IncomingMessage): void {
  request.resume();
  closeLingering(request.socket);
}

/** Limits the targets of a relayed request to those that the relaying entry leaves. */
function withAttempts(
  route: ForwardingRoute,
  { attempts }: RelayHead,
): ForwardingRoute {
  return { ...route, maxAttempts: Math.min(route.maxAttempts, attempts) };
}
