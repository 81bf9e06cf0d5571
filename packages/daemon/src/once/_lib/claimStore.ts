import { createHash } from 'node:crypto';
import {
  claimSchema,
  type Claim,
  type KeyValue,
  type PlatformError,
} from '@endivegate/contracts';
import {
  CLAIM_SHARDS,
  type ClaimPutResult,
  type FoundClaim,
} from '@endivegate/core';

/** Fields that identify a claim. */
export type ClaimAddress = Pick<
  Claim,
  'workspace' | 'service' | 'idempotencyKey'
>;

/** Key prefix of all claims in the store. */
export const CLAIMS_PREFIX = 'claims/';

/**
 * Returns the store key of a claim: its shard and a hash of its address.
 *
 * @param address - Workspace, service and idempotency key.
 * @returns The key.
 */
export function claimKey(address: ClaimAddress): string {
  const { workspace, service, idempotencyKey } = address;
  const hash = createHash('sha256')
    .update(JSON.stringify([workspace, service, idempotencyKey]))
    .digest('hex');
  return `${shardPrefix(parseInt(hash.slice(0, 2), 16))}${hash}`;
}

/**
 * Returns the key prefix of one shard of the claims.
 *
 * @param shard - Number of the shard.
 * @returns The prefix.
 */
export function shardPrefix(shard: number): string {
  const name = (shard % CLAIM_SHARDS).toString(16).padStart(2, '0');
  return `${CLAIMS_PREFIX}${name}/`;
}

/**
 * Parses a stored claim.
 *
 * @param stored - Value and version.
 * @param nowMs - Wall clock time.
 * @returns The claim, or undefined when the value is not a valid claim.
 */
export function parseClaim(
  stored: KeyValue,
  nowMs: number,
): FoundClaim | undefined {
  const parsed = claimSchema.safeParse(parseJson(stored.value));
  if (!parsed.success) return undefined;
  const claim = parsed.data;
  return {
    claim,
    version: stored.version,
    ageMs: Math.max(0, nowMs - claim.changedAtMs),
  };
}

/**
 * Converts the error of a failed claim write to the result for the once slice.
 *
 * @param error - The store's error.
 * @param nowMs - Wall clock time.
 * @returns `noEffect` when nothing was written, `replyLost` when the claim may
 *   have been written, or `conflict` with the claim that is stored instead.
 */
export function toPutResult(
  error: PlatformError,
  nowMs: number,
): ClaimPutResult {
  if (error.type === 'replyLost') return { type: 'replyLost' };
  if (error.type !== 'conflict') return { type: 'noEffect' };
  if (error.current === undefined)
    return { type: 'conflict', found: undefined };
  const found = parseClaim(error.current, nowMs);
  return found === undefined
    ? { type: 'noEffect' }
    : { type: 'conflict', found };
}

const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Returns the timestamp embedded in an idempotency key.
 *
 * @param idempotencyKey - The key.
 * @returns Milliseconds since the epoch for a UUIDv7, otherwise undefined.
 */
export function keyTimestampMs(idempotencyKey: string): number | undefined {
  const match = UUID_V7.exec(idempotencyKey);
  if (match === null) return undefined;
  return parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
