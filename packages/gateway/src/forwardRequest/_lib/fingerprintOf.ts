import { xxHash32 } from 'js-xxhash';
import type { ForwardCall } from '../types.ts';

/**
 * Returns a function that computes, once, a request's fingerprint of path,
 * workspace and body.
 */
export function fingerprintOf(
  call: Pick<ForwardCall, 'path' | 'workspace' | 'body'>,
): () => string {
  let fingerprint: string | undefined;
  return () => {
    fingerprint ??= [
      call.path,
      call.workspace ?? '',
      call.body.length,
      xxHash32(call.body),
    ].join('|');
    return fingerprint;
  };
}
