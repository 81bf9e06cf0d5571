import type { KeyValue, PlatformPort } from '@endivegate/contracts';
import { CLAIM_RETENTION_MS } from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import { parseClaim, shardPrefix } from './claimStore.ts';

/** Maximum number of claims deleted per sweep; later sweeps delete the rest. */
const MAX_DELETIONS = 200;

/**
 * How long a claim is kept beyond CLAIM_RETENTION_MS, the age from which an
 * idempotency key with its own timestamp is refused.
 */
const EXPIRY_MARGIN_MS = 3_600_000;

/**
 * Deletes the settled claims of one shard whose retention time has passed.
 *
 * A claim whose outcome is in doubt is kept until it is settled, whatever its
 * age.
 *
 * @param platform - The store.
 * @param options - Shard and wall clock time.
 * @returns The number of deleted claims; 0 when the shard cannot be listed.
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
    const deletion = await platform.compareAndDelete(
      { key, expectedVersion: version },
      { purpose: 'claims' },
    )();
    if (E.isLeft(deletion)) return deleted;
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
