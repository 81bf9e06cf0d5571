import type { Claim, OnceRecord, PlatformPort } from '@endivegate/contracts';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { AdminFailure, AdminPorts } from '../../admin/index.ts';
import {
  type ClaimAdminError,
  listClaims,
  settleClaim,
  readClaim,
} from '../../once/index.ts';

/**
 * Creates the operators' functions for claims.
 *
 * @param platform - The store that holds the claims.
 * @returns Functions that list, show and settle claims.
 */
export function createOncePorts(platform: PlatformPort): AdminPorts['once'] {
  return {
    list: ({ workspace, service, inDoubt }) =>
      pipe(
        listClaims(platform, Date.now(), {
          workspace,
          inDoubtOnly: inDoubt === 'true',
        }),
        TE.map((found) =>
          found
            .filter(({ claim }) => [undefined, claim.service].includes(service))
            .map(({ claim }) => describeClaim(claim)),
        ),
        TE.mapLeft(toAdminFailure),
      ),
    show: (address) =>
      pipe(
        readClaim(platform, Date.now(), address),
        TE.map(({ claim }) => describeClaim(claim)),
        TE.mapLeft(toAdminFailure),
      ),
    settle: ({ outcome, by, ...address }) =>
      pipe(
        settleClaim(platform, {
          address,
          settlement: { ran: outcome === 'ran' ? 'yes' : 'no', by },
          nowMs: Date.now(),
        }),
        TE.map(describeClaim),
        TE.mapLeft(toAdminFailure),
      ),
  };
}

function describeClaim(claim: Claim): OnceRecord {
  const { workspace, service, idempotencyKey, entryId, targetId } = claim;
  return {
    workspace,
    service,
    idempotencyKey,
    entryId,
    targetId,
    state: claim.state.type,
    ...('reason' in claim.state ? { reason: claim.state.reason } : {}),
    createdAtUnixMs: claim.createdAtMs,
    changedAtUnixMs: claim.changedAtMs,
  };
}

function toAdminFailure(error: ClaimAdminError): AdminFailure {
  switch (error.type) {
    case 'store':
      return { type: 'storeDown', reason: error.error.type };
    case 'absent':
      return { type: 'notFound', reason: 'there is no such claim' };
    case 'notInDoubt':
      return { type: 'conflict', reason: `the claim is ${error.state}` };
    case 'tooYoung':
      return {
        type: 'conflict',
        reason: `the call may still be in progress; retry in ${error.waitMs} ms`,
      };
  }
}
