import type { GatewayError } from '../../createReply/index.ts';
import type { BodyError } from '../../readBody/index.ts';

const TIMED_OUT = 408;
const TOO_LARGE = 413;
const UNAVAILABLE = 503;

/** Retry-After while there is no memory for a body, which open requests give back. */
const NO_ROOM_RETRY_AFTER_MS = 1000;

/** Failures of a request whose body was not read to its end, so that it has not run. */
export function bodyFailures(
  maxBytes: number,
): Readonly<Record<BodyError, GatewayError>> {
  const closeConnection = true;
  return {
    tooLarge: {
      status: TOO_LARGE,
      message: `body over ${maxBytes} bytes`,
      closeConnection,
    },
    tooSlow: {
      status: TIMED_OUT,
      message: 'the body did not arrive in time',
      closeConnection,
    },
    noRoom: {
      status: UNAVAILABLE,
      message: 'no memory is left for the body',
      retryAfterMs: NO_ROOM_RETRY_AFTER_MS,
      isLocal: true,
      closeConnection,
    },
  };
}
