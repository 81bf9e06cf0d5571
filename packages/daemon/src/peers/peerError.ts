import { status, type ServiceError } from '@grpc/grpc-js';

/** Why a call to another entry did not succeed. */
export type PeerError =
  /** No connection, or it broke during the call. */
  | { readonly type: 'unreachable'; readonly reason: string }
  | { readonly type: 'timedOut' }
  | { readonly type: 'cancelled' }
  /** The entry does not offer the call, or not the topic. */
  | { readonly type: 'unsupported'; readonly reason: string }
  /** The message does not match its schema. */
  | { readonly type: 'invalid'; readonly reason: string }
  | { readonly type: 'failed'; readonly reason: string };

/**
 * Turns a gRPC error into a tagged one.
 *
 * @param error - Error of a call.
 * @returns The error as the callers of the peer client see it.
 */
export function toPeerError(error: ServiceError): PeerError {
  const reason = error.details;
  switch (error.code) {
    case status.UNAVAILABLE:
      return { type: 'unreachable', reason };
    case status.DEADLINE_EXCEEDED:
      return { type: 'timedOut' };
    case status.CANCELLED:
      return { type: 'cancelled' };
    case status.UNIMPLEMENTED:
      return { type: 'unsupported', reason };
    case status.INVALID_ARGUMENT:
      return { type: 'invalid', reason };
    default:
      return { type: 'failed', reason };
  }
}
