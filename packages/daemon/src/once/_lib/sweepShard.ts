import type { KeyValue, PlatformPort } from '@endivegate/contracts';
import { CLAIM_RETENTION_MS } from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import { parseClaim, shardPrefix } from './claimStore.ts';

/** Claims deleted in one sweep; the rest waits for the next. */
const MAX_DELETIONS = 200;

/** Time by which a claim outlives keys that carry their own time. */
const EXPIRY_MARGIN_MS = 3_600_000;

/**
 * Deletes the settled claims of one shard that are older than they are kept.
 *
 * A claim in doubt stays, however old, until it is settled.
 *
 * @param platform - The store.
 * @param options - Shard and wall clock time.
 * @returns The number of deleted claims; 0 when the store cannot be read.
 */
export async function sweepShard(
  platform: PlatformPort,
  options: { readonly shard: number; readonly nowMs: number },
): Promise<number> {
  const listed = await platform.list(shardPrefix(options.shard), {
    purpose: 'claims',
  })();
  if (E.isLeft(listed)) return 0;
  const expired = listed.right
    .filter((stored) => isExpired(stored, options.nowMs))
    .slice(0, MAX_DELETIONS);
  let deleted = 0;
  for (const { key, version } of expired) {
    const done = await platform.compareAndDelete(
      { key, expectedVersion: version },
      { purpose: 'claims' },
    )();
    if (E.isLeft(done)) return deleted;
    deleted += 1;
  }
  return deleted;
}

function isExpired(stored: KeyValue, nowMs: number): boolean {
  const found = parseClaim(stored, nowMs);
  if (found === undefined) return false;
  const isSettled = !['claimed', 'unknown'].includes(found.claim.state.type);
  return isSettled && found.ageMs > CLAIM_RETENTION_MS + EXPIRY_MARGIN_MS;
}
