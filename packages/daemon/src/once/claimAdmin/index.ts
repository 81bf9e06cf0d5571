import type { Claim, PlatformError, PlatformPort } from '@endivegate/contracts';
import { DEAD_SETTLE_MS, type FoundClaim } from '@endivegate/core';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import {
  claimKey,
  CLAIMS_PREFIX,
  parseClaim,
  type ClaimAddress,
} from '../_lib/claimStore.ts';

/** Why an operator's request about a claim was not carried out. */
export type ClaimAdminError =
  | { readonly type: 'store'; readonly error: PlatformError }
  | { readonly type: 'absent' }
  /** The outcome of the claim is already known. */
  | { readonly type: 'notInDoubt'; readonly state: Claim['state']['type'] }
  /** The creating entry may still send the request or await its answer. */
  | { readonly type: 'tooYoung'; readonly waitMs: number };

/** Options of {@link listClaims}. */
export interface ListClaimsOptions {
  /** Only claims whose outcome is in doubt; default true. */
  readonly inDoubtOnly?: boolean;
  readonly workspace?: string;
  /** Maximum number of claims read from the store; default 10,000. */
  readonly limit?: number;
}

/**
 * Lists claims, oldest first.
 *
 * @param platform - The store.
 * @param nowMs - Wall clock time.
 * @param options - Filters and limit.
 * @returns The claims, or the store's error.
 */
export function listClaims(
  platform: PlatformPort,
  nowMs: number,
  options: ListClaimsOptions = {},
): TE.TaskEither<ClaimAdminError, readonly FoundClaim[]> {
  const { inDoubtOnly = true, workspace, limit = 10_000 } = options;
  return pipe(
    platform.list(CLAIMS_PREFIX, { purpose: 'claims', limit }),
    TE.mapLeft(storeError),
    TE.map((stored) =>
      stored
        .flatMap((value) => parseClaim(value, nowMs) ?? [])
        .filter((found) => !inDoubtOnly || isInDoubt(found))
        .filter(
          ({ claim }) => (workspace ?? claim.workspace) === claim.workspace,
        )
        .toSorted((a, b) => b.ageMs - a.ageMs),
    ),
  );
}

/**
 * Reads one claim.
 *
 * @param platform - The store.
 * @param nowMs - Wall clock time.
 * @param address - Workspace, service and idempotency key.
 * @returns The claim, `absent`, or the store's error.
 */
export function readClaim(
  platform: PlatformPort,
  nowMs: number,
  address: ClaimAddress,
): TE.TaskEither<ClaimAdminError, FoundClaim> {
  return pipe(
    platform.get(claimKey(address), { purpose: 'claims' }),
    TE.mapLeft(storeError),
    TE.flatMap((stored) => {
      const found = stored && parseClaim(stored, nowMs);
      return found === undefined
        ? TE.left<ClaimAdminError, FoundClaim>({ type: 'absent' })
        : TE.right(found);
    }),
  );
}

/** An operator's finding on whether a call in doubt ran. */
export interface Settlement {
  readonly ran: 'yes' | 'no';
  /** Name of the operator, stored in the claim. */
  readonly by: string;
}

/**
 * Settles a call in doubt with an operator's finding at the service.
 *
 * After `ran: no` the next repeat of the call is sent to the service; after
 * `ran: yes` a repeat is answered that the call ran. Settling twice with the
 * same finding is harmless.
 *
 * @param platform - The store.
 * @param options - The claim's address, the finding and the wall clock time.
 * @returns The settled claim, or the reason why it was not settled.
 */
export function settleClaim(
  platform: PlatformPort,
  options: {
    readonly address: ClaimAddress;
    readonly settlement: Settlement;
    readonly nowMs: number;
  },
): TE.TaskEither<ClaimAdminError, Claim> {
  const { address, settlement, nowMs } = options;
  return pipe(
    readClaim(platform, nowMs, address),
    TE.flatMap((found) => {
      const settleError = findSettleError(found);
      return settleError === undefined ? TE.right(found) : TE.left(settleError);
    }),
    TE.flatMap(({ claim, version }) => {
      const settled: Claim = {
        ...claim,
        changedAtMs: nowMs,
        state:
          settlement.ran === 'no'
            ? { type: 'notRun' }
            : { type: 'settled', by: settlement.by },
      };
      return pipe(
        platform.compareAndSwap(
          {
            key: claimKey(address),
            value: JSON.stringify(settled),
            expectedVersion: version,
          },
          { purpose: 'claims' },
        ),
        TE.mapLeft(storeError),
        TE.map(() => settled),
      );
    }),
  );
}

function findSettleError(found: FoundClaim): ClaimAdminError | undefined {
  const { type } = found.claim.state;
  if (!isInDoubt(found)) return { type: 'notInDoubt', state: type };
  const { claim, ageMs } = found;
  const timeoutMs = type === 'claimed' ? claim.timeoutMs : 0;
  const waitMs = Math.max(DEAD_SETTLE_MS, timeoutMs) - ageMs;
  return waitMs > 0 ? { type: 'tooYoung', waitMs } : undefined;
}

function isInDoubt({ claim }: FoundClaim): boolean {
  return claim.state.type === 'unknown' || claim.state.type === 'claimed';
}

function storeError(error: PlatformError): ClaimAdminError {
  return { type: 'store', error };
}
