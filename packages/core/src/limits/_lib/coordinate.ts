import type { LimitAmounts } from '@endivegate/contracts';
import { divideLimit } from '../../divideLimit/index.ts';
import { combineAmounts, floorOf, grantableOf, NO_AMOUNTS } from './amounts.ts';

/** Validity of a grant, counted from the report that requested it. */
export const GRANT_MS = 2_000;

/** Time for which a coordinator still counts a grant after it has ended. */
const GRANT_MARGIN_MS = 200;

/** Age from which a user's last report no longer claims a share. */
const CLAIM_TTL_MS = 2 * GRANT_MS;

/** State that a coordinator keeps of one user of a limit. */
export interface LimitClaim {
  readonly wanted: LimitAmounts;
  readonly inFlight: number;
  readonly reportedAtMs: number;
  /** Grants that may still be in use. */
  readonly grants: readonly {
    readonly amounts: LimitAmounts;
    readonly untilMs: number;
  }[];
}

/** State that a coordinator keeps of one limit. */
export interface CoordinatedLimit {
  /** Time from which this entry has been the coordinator. */
  readonly sinceMs: number;
  readonly claims: ReadonlyMap<string, LimitClaim>;
}

/** Report of an entry that uses a limit. */
export interface LimitReport {
  readonly fromEntryId: string;
  readonly wanted: LimitAmounts;
  readonly inFlight: number;
}

/**
 * Grants a share of a limit in response to a user's report.
 *
 * The grant, all grants that other users may still hold, and their requests in
 * flight beyond the floors together never exceed the limit without the floors. A
 * new coordinator grants nothing until the grants of its predecessor have ended.
 *
 * @param coordinated - Current state of the coordinator.
 * @param report - The user's demand and requests in flight.
 * @param context - The limit, the number of its homes and the current time.
 * @returns The grant and the new state of the coordinator.
 */
export function grantShare(
  coordinated: CoordinatedLimit,
  report: LimitReport,
  context: {
    readonly limit: LimitAmounts;
    readonly homeCount: number;
    readonly atMs: number;
  },
): { readonly coordinated: CoordinatedLimit; readonly granted: LimitAmounts } {
  const { limit, homeCount, atMs } = context;
  const updated = recordReport(coordinated, report, atMs);
  if (atMs < coordinated.sinceMs + GRANT_MS + GRANT_MARGIN_MS) {
    return { coordinated: updated, granted: NO_AMOUNTS };
  }
  const grantable = grantableOf(limit, homeCount);
  const others = [...updated.claims].filter(
    ([entryId]) => entryId !== report.fromEntryId,
  );
  const floor = floorOf(limit, homeCount);
  const taken = others
    .map(([, claim]) => committedOf(claim, floor.concurrency))
    .reduce((a, b) => combineAmounts(a, b, (x, y) => x + y), NO_AMOUNTS);
  const available = combineAmounts(grantable, taken, (x, y) =>
    Math.max(x - y, 0),
  );
  const share = fairShare(updated, report.fromEntryId, grantable);
  const fair = combineAmounts(share, available, Math.min);
  const granted = { ...fair, concurrency: Math.floor(fair.concurrency) };
  return { coordinated: withGrant(updated, report, granted, atMs), granted };
}

/** Records a report, and removes ended grants and the demand of expired claims. */
function recordReport(
  coordinated: CoordinatedLimit,
  report: LimitReport,
  atMs: number,
): CoordinatedLimit {
  const { fromEntryId, wanted, inFlight } = report;
  const known = coordinated.claims.get(fromEntryId);
  const claim: LimitClaim = {
    wanted,
    inFlight,
    reportedAtMs: atMs,
    grants: known?.grants ?? [],
  };
  const claims = [...coordinated.claims, [fromEntryId, claim] as const].map(
    ([id, one]) => [id, pruneClaim(one, atMs)] as const,
  );
  return { ...coordinated, claims: new Map(claims) };
}

function pruneClaim(claim: LimitClaim, atMs: number): LimitClaim {
  const isExpired = atMs - claim.reportedAtMs > CLAIM_TTL_MS;
  return {
    ...claim,
    wanted: isExpired ? NO_AMOUNTS : claim.wanted,
    grants: claim.grants.filter(({ untilMs }) => untilMs > atMs),
  };
}

/** Returns the maximum that a user may be using of the granted amounts. */
function committedOf(
  claim: LimitClaim,
  floorConcurrency: number,
): LimitAmounts {
  const granted = claim.grants
    .map(({ amounts }) => amounts)
    .reduce((a, b) => combineAmounts(a, b, Math.max), NO_AMOUNTS);
  const inFlightAboveFloor = claim.inFlight - floorConcurrency;
  return {
    ...granted,
    concurrency: Math.max(granted.concurrency, inFlightAboveFloor),
  };
}

function fairShare(
  { claims }: CoordinatedLimit,
  entryId: string,
  grantable: LimitAmounts,
): LimitAmounts {
  const shareOf = (kind: keyof LimitAmounts): number => {
    const demands = [...claims].map(
      ([id, { wanted }]) => [id, wanted[kind]] as const,
    );
    return divideLimit(grantable[kind], new Map(demands)).get(entryId) ?? 0;
  };
  return {
    concurrency: shareOf('concurrency'),
    requestsPerSecond: shareOf('requestsPerSecond'),
    tokensPerSecond: shareOf('tokensPerSecond'),
  };
}

function withGrant(
  coordinated: CoordinatedLimit,
  { fromEntryId }: LimitReport,
  amounts: LimitAmounts,
  atMs: number,
): CoordinatedLimit {
  const claim = coordinated.claims.get(fromEntryId);
  if (!claim) return coordinated;
  const untilMs = atMs + GRANT_MS + GRANT_MARGIN_MS;
  const grants = [...claim.grants, { amounts, untilMs }];
  const claims = new Map(coordinated.claims);
  claims.set(fromEntryId, { ...claim, grants });
  return { ...coordinated, claims };
}
