import type { IncomingMessage, ServerResponse } from 'node:http';

/** The answer to a caller. */
export interface Reply {
  readonly begin: (
    status: number,
    headers: readonly (readonly [string, string])[],
  ) => void;
  /** Returns whether more may be written now; else waits for `onDrain`. */
  readonly write: (bytes: Buffer) => boolean;
  readonly end: (bytes?: Buffer) => void;
  /** Closes the connection so that the answer is seen to be cut off. */
  readonly cutOff: () => void;
  /** Answers with an error of our own. */
  readonly fail: (failure: OwnFailure) => void;
  readonly onDrain: (listener: () => void) => void;
  /** Called once when the caller is gone before the answer has ended. */
  readonly onGone: (listener: () => void) => void;
}

/** An error that the gateway answers by itself. */
export interface OwnFailure {
  readonly status: number;
  readonly message: string;
  /** When a caller may come again; only where the request has not run. */
  readonly retryAfterMs?: number;
  /** Whether the connection cannot be used any further. */
  readonly closes?: boolean;
}

/** Options of {@link createReply}. */
export interface CreateReplyOptions {
  /** Whether this entry is leaving, so that callers should connect elsewhere. */
  readonly isLeaving: () => boolean;
}

const MS_PER_S = 1000;

/**
 * Wraps the response to a caller.
 *
 * @param request - The caller's request.
 * @param response - Its response.
 * @param options - Whether connections are to be closed.
 * @returns The answer to write.
 *
 * @example
 * createReply(request, response, options).fail({ status: 503, message });
 */
export function createReply(
  request: IncomingMessage,
  response: ServerResponse,
  options: CreateReplyOptions,
): Reply {
  return {
    begin(status, headers) {
      if (options.isLeaving()) response.shouldKeepAlive = false;
      response.sendDate = false;
      response.writeHead(status, headers.flat());
    },
    write: (bytes) => response.write(bytes),
    end(bytes) {
      response.end(bytes);
    },
    cutOff() {
      response.destroy();
    },
    fail({ status, message, retryAfterMs, closes = false }) {
      if (response.headersSent) {
        response.destroy();
        return;
      }
      const body = JSON.stringify({ error: message });
      if (closes || options.isLeaving()) response.shouldKeepAlive = false;
      if (retryAfterMs !== undefined) {
        response.setHeader('Retry-After', (retryAfterMs / MS_PER_S).toFixed(3));
      }
      response.setHeader('Content-Type', 'application/json');
      response.setHeader('Content-Length', Buffer.byteLength(body));
      response.statusCode = status;
      response.end(body);
    },
    onDrain(listener) {
      response.on('drain', listener);
    },
    onGone(listener) {
      let isTold = false;
      const tell = (): void => {
        if (isTold || response.writableFinished) return;
        isTold = true;
        listener();
      };
      const { socket } = request;
      response.on('close', () => {
        socket.off('end', tell);
        tell();
      });
      response.on('error', tell);
      request.on('error', tell);
      socket.on('end', tell);
    },
  };
}
