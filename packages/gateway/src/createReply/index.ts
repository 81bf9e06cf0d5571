import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  RELAY_ANSWERED_BY_HEADER,
  RELAY_REFUSAL_HEADER,
  type RelayAnsweredBy,
  type RelayRefusal,
} from '../relayDialect/index.ts';

/** Writes the response to a caller. */
export interface Reply {
  /** Sends the response head. */
  readonly begin: (
    status: number,
    headers: readonly (readonly [string, string])[],
  ) => void;
  /**
   * Returns false if the buffer is full; `onDrain` signals when it is empty.
   */
  readonly write: (bytes: Buffer) => boolean;
  readonly end: (bytes?: Buffer) => void;
  /** Closes the connection, so that the caller sees a truncated response. */
  readonly cutOff: () => void;
  /** Responds with an error of the gateway itself, or truncates a response that has
   * begun; does nothing after its end. */
  readonly fail: (failure: GatewayError) => void;
  readonly onDrain: (listener: () => void) => void;
  /** Bytes of the response that wait for the caller to read. */
  readonly unsentBytes: () => number;
  /**
   * Registers a listener called once if the caller disconnects before the end.
   */
  readonly onDisconnect: (listener: () => void) => void;
}

/** An error response that the gateway generates. */
export interface GatewayError {
  readonly status: number;
  readonly message: string;
  /** Value for Retry-After; set only if the request has not run. */
  readonly retryAfterMs?: number;
  /** Whether only the state of this entry is the reason, so that a peer that relayed the
   * request may send it to another entry; false by default. */
  readonly isLocal?: boolean;
  /** Whether to close the connection after the response. */
  readonly closeConnection?: boolean;
}

/** Options of {@link createReply}. */
export interface CreateReplyOptions {
  /** Whether the connection is closed after this response. */
  readonly isLastResponse: () => boolean;
  /** Time for which a caller may read nothing of a complete response; unlimited by
   * default. */
  readonly stallTimeoutMs?: () => number;
}

const MS_PER_S = 1000;

/**
 * Creates the writer of a response to a caller.
 *
 * @param request - The caller's request.
 * @param response - Node's response object for it.
 * @param options - Whether the connection stays open, and a time limit.
 * @returns The response writer.
 *
 * @example
 * createReply(request, response, options).fail({ status: 503, message });
 */
export function createReply(
  request: IncomingMessage,
  response: ServerResponse,
  options: CreateReplyOptions,
): Reply {
  const { stallTimeoutMs = () => 0 } = options;
  return {
    begin(status, headers) {
      if (options.isLastResponse()) response.shouldKeepAlive = false;
      response.sendDate = false;
      response.writeHead(status, headers.flat());
    },
    write: (bytes) => response.write(bytes),
    end(bytes) {
      response.end(bytes);
      // Node closes the connection at this timeout, and sets another after the response.
      if (response.writableLength > 0)
        request.socket.setTimeout(stallTimeoutMs());
    },
    cutOff() {
      response.destroy();
    },
    fail(failure) {
      const { status, message, retryAfterMs } = failure;
      const { closeConnection = false, isLocal = false } = failure;
      if (response.writableEnded) return;
      if (response.headersSent) {
        response.destroy();
        return;
      }
      const body = JSON.stringify({ error: message });
      if (closeConnection || options.isLastResponse())
        response.shouldKeepAlive = false;
      if (retryAfterMs !== undefined) {
        response.setHeader('Retry-After', (retryAfterMs / MS_PER_S).toFixed(3));
      }
      if (response.hasHeader(RELAY_ANSWERED_BY_HEADER)) {
        const by: RelayAnsweredBy = 'entry';
        response.setHeader(RELAY_ANSWERED_BY_HEADER, by);
        const refusal: RelayRefusal = 'local';
        if (isLocal) response.setHeader(RELAY_REFUSAL_HEADER, refusal);
      }
      response.setHeader('Content-Type', 'application/json');
      response.setHeader('Content-Length', Buffer.byteLength(body));
      response.statusCode = status;
      response.end(body);
    },
    onDrain(listener) {
      response.on('drain', listener);
    },
    unsentBytes: () => response.writableLength,
    onDisconnect(listener) {
      let hasNotified = false;
      const notify = (): void => {
        if (hasNotified || response.writableFinished) return;
        hasNotified = true;
        listener();
      };
      const { socket } = request;
      response.on('close', () => {
        socket.off('end', notify);
        notify();
      });
      response.on('error', notify);
      request.on('error', notify);
      socket.on('end', notify);
    },
  };
}
