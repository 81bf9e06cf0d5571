import { type IncomingMessage, validateHeaderValue } from 'node:http';
import type {
  CallerLimits,
  ForwardingRoute,
} from '@endivegate/contracts/forwarding';
import { matchRoute, type RouteTable } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { GatewayError } from '../../createReply/index.ts';
import type { CallerHead } from '../../httpDialect/index.ts';

/** Result of checking a caller's request against the configuration. */
export type CheckResult =
  | {
      readonly type: 'accepted';
      readonly route: ForwardingRoute;
      readonly workspace: string | undefined;
      readonly priority: number;
    }
  | { readonly type: 'rejected'; readonly failure: GatewayError };

const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const TOO_LARGE = 413;
const HEADERS_TOO_LARGE = 431;
const BAD_REQUEST = 400;
const UNAVAILABLE = 503;

/** Bytes of `: ` and CRLF in a header line. */
const HEADER_OVERHEAD_BYTES = 4;

/** What a request is checked against. */
export interface CheckQuery {
  readonly table: RouteTable;
  readonly caller: CallerHead;
  /** Whether a peer has checked the sizes. */
  readonly isRelayed: boolean;
}

/** Checks a request whose head was read against the configuration. */
export function checkRequest(
  request: IncomingMessage,
  query: CheckQuery,
): CheckResult {
  const { table, caller } = query;
  const { limits } = table.config;
  const oversize = query.isRelayed ? undefined : checkSizes(request, limits);
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
      closeConnection: true,
    });
  }
  const isOpen = route.anonymous || !table.config.requiresKeys;
  const keyHolder = table.workspacesByKey.get(caller.key ?? '');
  if (!isOpen && keyHolder === undefined) {
    return rejected({ status: UNAUTHORIZED, message: 'unknown key' });
  }
  if (!isHeaderValue(keyHolder?.name ?? '')) {
    return rejected({
      status: UNAVAILABLE,
      message: 'the name of the workspace cannot be sent to targets',
    });
  }
  return {
    type: 'accepted',
    route,
    workspace: keyHolder?.name,
    priority: keyHolder?.priority ?? route.priority,
  };
}

/** Whether a text can be the value of a header: it has no characters outside Latin-1. */
function isHeaderValue(text: string): boolean {
  return E.isRight(
    E.tryCatch(() => {
      validateHeaderValue('name', text);
    }, String),
  );
}

function checkSizes(
  request: IncomingMessage,
  limits: CallerLimits,
): GatewayError | undefined {
  const headerBytes = request.rawHeaders.reduce(
    (sum, text) => sum + text.length + HEADER_OVERHEAD_BYTES / 2,
    0,
  );
  if (headerBytes > limits.maxHeaderBytes) {
    return {
      status: HEADERS_TOO_LARGE,
      message: `headers over ${limits.maxHeaderBytes} bytes`,
      closeConnection: true,
    };
  }
  const bodyBytes = Number(request.headers['content-length'] ?? 0);
  return bodyBytes > limits.maxBodyBytes
    ? {
        status: TOO_LARGE,
        message: `body over ${limits.maxBodyBytes} bytes`,
        closeConnection: true,
      }
    : undefined;
}

function rejected(failure: GatewayError): CheckResult {
  return { type: 'rejected', failure };
}
