import { xxHash32 } from 'js-xxhash';
import type { ForwardCall } from '../types.ts';

/**
 * Returns a function that computes a request's fingerprint from its path,
 * workspace and body. The fingerprint is computed on the first call and cached.
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
