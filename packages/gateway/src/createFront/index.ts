import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import {
  matchRoute,
  pickService,
  type RouteTable,
} from '@endivegate/core/forwarding';
import type {
  CallerLimits,
  ForwardingRoute,
} from '@endivegate/contracts/forwarding';
import {
  createReply,
  type OwnFailure,
  type Reply,
} from '../createReply/index.ts';
import { forwardRequest } from '../forwardRequest/index.ts';
import type { ForwardCall, ForwardContext } from '../forwardRequest/types.ts';
import type { CallerHead } from '../httpDialect/index.ts';

/** The server that callers connect to. */
export interface Front {
  readonly server: Server;
  /** Requests that are being answered. */
  readonly openRequests: () => number;
  /** Closes connections that have no request. */
  readonly closeIdle: () => void;
}

/** Options of {@link createFront}. */
export interface CreateFrontOptions {
  readonly isLeaving: () => boolean;
}

/** What a caller's request may be forwarded as, or why it may not. */
type Checked =
  | {
      readonly type: 'accepted';
      readonly route: ForwardingRoute;
      readonly workspace: string | undefined;
      readonly priority: number;
    }
  | { readonly type: 'rejected'; readonly failure: OwnFailure };

const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const TOO_LARGE = 413;
const HEADERS_TOO_LARGE = 431;
const BAD_REQUEST = 400;
const UNAVAILABLE = 503;

/** More than any configured limit, so that our own check decides. */
const MOST_HEADER_BYTES = 64 * 1024;

/** How often the library looks for callers that send too slowly. */
const SLOW_CHECK_MS = 500;

/** Bytes that separate a header's name and value and end its line. */
const HEADER_OVERHEAD_BYTES = 4;

/** A caller that came too early may come again after this. */
const NO_CONFIG_RETRY_MS = 300;

/**
 * Creates the server for callers: it checks each request against the
 * configuration in force, reads it whole and forwards it.
 *
 * @param context - State, connections and bounds of the gateway.
 * @param options - Whether this entry is leaving.
 * @returns The server, not yet listening.
 *
 * @example
 * createFront(context, { isLeaving: () => false }).server.listen(8080);
 */
export function createFront(
  context: ForwardContext,
  options: CreateFrontOptions,
): Front {
  const { runtime, log } = context;
  const sockets = new Set<Socket>();
  const busySockets = new Map<Socket, number>();
  let openRequests = 0;

  const server = createServer(
    {
      maxHeaderSize: MOST_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CHECK_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    answer,
  );
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
    });
  });
  server.on('clientError', (error, socket) => {
    log.warn('caller.badRequest', { reason: error.message });
    if (socket.writable) {
      socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
    } else socket.destroy();
  });
  runtime.onConfig(({ config }) => {
    server.keepAliveTimeout = config.limits.idleTimeoutMs;
    server.headersTimeout = config.limits.headerTimeoutMs;
  });

  function answer(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    openRequests += 1;
    busySockets.set(socket, (busySockets.get(socket) ?? 0) + 1);
    response.once('close', () => {
      openRequests -= 1;
      const left = (busySockets.get(socket) ?? 1) - 1;
      if (left > 0) busySockets.set(socket, left);
      else busySockets.delete(socket);
    });
    const reply = createReply(request, response, options);
    const table = runtime.table();
    if (table === undefined) {
      reject(request, reply, {
        status: UNAVAILABLE,
        message: 'no configuration yet',
        retryAfterMs: NO_CONFIG_RETRY_MS,
      });
      return;
    }
    const caller = context.dialect.readCaller(request.headers);
    const checked = check(request, { table, caller, random: Math.random() });
    if (checked.type === 'rejected') reject(request, reply, checked.failure);
    else accept(request, reply, { table, caller, checked });
  }

  function reject(
    request: IncomingMessage,
    reply: Reply,
    failure: OwnFailure,
  ): void {
    log.info('request.rejected', {
      request: String(request.headers[context.dialect.attemptIdHeader] ?? ''),
      status: failure.status,
      reason: failure.message,
      path: request.url,
      configVersion: runtime.table()?.config.version,
    });
    context.metrics.ended({ rule: 'none', end: `rejected${failure.status}` });
    request.resume();
    reply.fail(failure);
  }

  function accept(
    request: IncomingMessage,
    reply: Reply,
    accepted: {
      readonly table: RouteTable;
      readonly caller: CallerHead;
      readonly checked: Extract<Checked, { type: 'accepted' }>;
    },
  ): void {
    const { table, caller, checked } = accepted;
    const arrivedAtMs = context.now();
    const { maxBodyBytes } = table.config.limits;
    readBody(request, maxBodyBytes, (body) => {
      if (body === undefined) {
        reject(request, reply, {
          status: TOO_LARGE,
          message: `body over ${maxBodyBytes} bytes`,
          closes: true,
        });
        return;
      }
      const name = pickService(checked.route, Math.random());
      const service = table.servicesByName.get(name ?? '');
      if (service === undefined) {
        reject(request, reply, {
          status: UNAVAILABLE,
          message: 'the route has no service',
          retryAfterMs: NO_CONFIG_RETRY_MS,
        });
        return;
      }
      const call: ForwardCall = {
        attemptId: caller.attemptId ?? '',
        route: checked.route,
        service,
        workspace: checked.workspace,
        priority: checked.priority,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        rawHeaders: request.rawHeaders,
        caller,
        body,
        arrivedAtMs,
      };
      forwardRequest(call, reply, context);
    });
  }

  return {
    server,
    openRequests: () => openRequests,
    closeIdle() {
      [...sockets]
        .filter((socket) => !busySockets.has(socket))
        .forEach((socket) => {
          socket.destroySoon();
        });
    },
  };
}

interface CheckQuery {
  readonly table: RouteTable;
  readonly caller: CallerHead;
  readonly random: number;
}

function check(request: IncomingMessage, query: CheckQuery): Checked {
  const { table, caller } = query;
  const { limits } = table.config;
  const oversize = checkSizes(request, limits);
  if (oversize !== undefined) return rejected(oversize);
  const route = matchRoute(
    table,
    request.headers.host ?? '',
    request.url ?? '',
  );
  if (route === undefined) {
    return rejected({ status: NOT_FOUND, message: 'no such route' });
  }
  if (caller.attemptId === undefined) {
    return rejected({
      status: BAD_REQUEST,
      message: 'no request id',
      closes: true,
    });
  }
  const isOpen = route.anonymous || table.config.workspaces.length === 0;
  const holder = table.workspacesByKey.get(caller.key ?? '');
  if (!isOpen && holder === undefined) {
    return rejected({ status: UNAUTHORIZED, message: 'unknown key' });
  }
  return {
    type: 'accepted',
    route,
    workspace: holder?.name,
    priority: holder?.priority ?? route.priority,
  };
}

function checkSizes(
  request: IncomingMessage,
  limits: CallerLimits,
): OwnFailure | undefined {
  const headerBytes = request.rawHeaders.reduce(
    (sum, text) => sum + text.length + HEADER_OVERHEAD_BYTES / 2,
    0,
  );
  if (headerBytes > limits.maxHeaderBytes) {
    return {
      status: HEADERS_TOO_LARGE,
      message: `headers over ${limits.maxHeaderBytes} bytes`,
      closes: true,
    };
  }
  const bodyBytes = Number(request.headers['content-length'] ?? 0);
  return bodyBytes > limits.maxBodyBytes
    ? {
        status: TOO_LARGE,
        message: `body over ${limits.maxBodyBytes} bytes`,
        closes: true,
      }
    : undefined;
}

function rejected(failure: OwnFailure): Checked {
  return { type: 'rejected', failure };
}

/** Reads a body whole; gives undefined when it passes the limit. */
function readBody(
  request: IncomingMessage,
  mostBytes: number,
  done: (body: Buffer | undefined) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let isOver = false;
  request.on('data', (chunk: Buffer) => {
    if (isOver) return;
    bytes += chunk.length;
    chunks.push(chunk);
    if (bytes <= mostBytes) return;
    isOver = true;
    done(undefined);
  });
  request.on('end', () => {
    if (isOver || !request.complete) return;
    isOver = true;
    done(Buffer.concat(chunks));
  });
}
