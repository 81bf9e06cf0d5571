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

/** What a claim is found by. */
export type ClaimAddress = Pick<
  Claim,
  'workspace' | 'service' | 'idempotencyKey'
>;

/** Prefix of all claims in the store. */
export const CLAIMS_PREFIX = 'claims/';

/**
 * Returns the store's key of a claim: its shard and a hash of its address.
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
 * Returns the prefix of one shard of the claims.
 *
 * @param shard - Number of the shard.
 * @returns The prefix.
 */
export function shardPrefix(shard: number): string {
  const name = (shard % CLAIM_SHARDS).toString(16).padStart(2, '0');
  return `${CLAIMS_PREFIX}${name}/`;
}

/**
 * Reads a stored claim.
 *
 * @param stored - Value and version.
 * @param nowMs - Wall clock time.
 * @returns The claim, or undefined when the value is not one.
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
 * Tells what a failed write of a claim means for its writer.
 *
 * @param error - The error.
 * @param nowMs - Wall clock time.
 * @returns Whether it had no effect, may have one, or met another claim.
 */
export function resultOfError(
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
 * Returns the time that an idempotency key carries.
 *
 * @param idempotencyKey - The key.
 * @returns Milliseconds since the epoch for a UUID of version 7, else undefined.
 */
export function keyTimeMs(idempotencyKey: string): number | undefined {
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
