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
  /** Its outcome is known already. */
  | { readonly type: 'notInDoubt'; readonly state: Claim['state']['type'] }
  /** Its creator may still send or be waiting for the answer. */
  | { readonly type: 'tooYoung'; readonly waitMs: number };

/** Options of {@link listClaims}. */
export interface ListClaimsOptions {
  /** Only claims whose outcome is in doubt; default true. */
  readonly inDoubtOnly?: boolean;
  readonly workspace?: string;
  /** Most claims read from the store; default 10,000. */
  readonly limit?: number;
}

/**
 * Lists claims, oldest first.
 *
 * @param platform - The store.
 * @param nowMs - Wall clock time.
 * @param options - Which claims.
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

/** What an operator found out about a call in doubt. */
export interface Settlement {
  readonly ran: 'yes' | 'no';
  /** Name of the operator, kept with the claim. */
  readonly by: string;
}

/**
 * Settles a call in doubt by what an operator found at the service.
 *
 * After `ran: no` the next repeat of the call is sent; after `ran: yes` a
 * repeat is told that it ran. Settling again in the same way is harmless.
 *
 * @param platform - The store.
 * @param options - The claim's address, the finding and the wall clock time.
 * @returns The settled claim, or why it was not settled.
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
      const refusal = reasonNotToSettle(found);
      return refusal === undefined ? TE.right(found) : TE.left(refusal);
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

function reasonNotToSettle(found: FoundClaim): ClaimAdminError | undefined {
  const { type } = found.claim.state;
  if (!isInDoubt(found)) return { type: 'notInDoubt', state: type };
  const { claim, ageMs } = found;
  const limitMs = type === 'claimed' ? claim.timeoutMs : 0;
  const waitMs = Math.max(DEAD_SETTLE_MS, limitMs) - ageMs;
  return waitMs > 0 ? { type: 'tooYoung', waitMs } : undefined;
}

function isInDoubt({ claim }: FoundClaim): boolean {
  return claim.state.type === 'unknown' || claim.state.type === 'claimed';
}

function storeError(error: PlatformError): ClaimAdminError {
  return { type: 'store', error };
}
