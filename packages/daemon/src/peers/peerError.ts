import { status, type ServiceError } from '@grpc/grpc-js';

/** Why a call to another entry failed. */
export type PeerError =
  /** There was no connection, or it broke during the call. */
  | { readonly type: 'unreachable'; readonly reason: string }
  | { readonly type: 'timedOut' }
  | { readonly type: 'cancelled' }
  /** The entry does not implement the call or has no handler for the topic. */
  | { readonly type: 'unsupported'; readonly reason: string }
  /** The message does not match its schema. */
  | { readonly type: 'invalid'; readonly reason: string }
  | { readonly type: 'failed'; readonly reason: string };

/**
 * Converts a gRPC error to a peer error.
 *
 * @param error - The error of a call.
 * @returns The peer error for its status code.
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
