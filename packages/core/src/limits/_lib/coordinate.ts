import type { LimitAmounts } from '@endivegate/contracts';
import { divideLimit } from '../../divideLimit/index.ts';
import { combineAmounts, floorOf, grantableOf, NO_AMOUNTS } from './amounts.ts';

/** Time for which a grant may be used, from the report that asked for it. */
export const GRANT_MS = 2_000;

/** Time that a coordinator counts a grant beyond its end. */
const GRANT_MARGIN_MS = 200;

/** Time after which a report without a successor stops to claim a share. */
const CLAIM_MS = 2 * GRANT_MS;

/** What a coordinator knows of one user of a limit. */
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

/** A limit at its coordinator. */
export interface CoordinatedLimit {
  /** Time from which this entry has been the coordinator. */
  readonly sinceMs: number;
  readonly claims: ReadonlyMap<string, LimitClaim>;
}

/** What a user of a limit reports. */
export interface LimitReport {
  readonly fromEntryId: string;
  readonly wanted: LimitAmounts;
  readonly inFlight: number;
}

/**
 * Grants a share of a limit on a user's report.
 *
 * What is granted, together with every grant that another user may still
 * have and with requests in flight beyond the floors, is at most what the
 * floors leave. A new coordinator grants nothing until its predecessor's
 * grants have ended.
 *
 * @param coordinated - The limit as this coordinator knows it.
 * @param report - The user's demand.
 * @param context - The limit, its homes and the present.
 * @returns The grant, and what the coordinator knows from now on.
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
  const heard = hear(coordinated, report, atMs);
  if (atMs < coordinated.sinceMs + GRANT_MS + GRANT_MARGIN_MS) {
    return { coordinated: heard, granted: NO_AMOUNTS };
  }
  const all = grantableOf(limit, homeCount);
  const others = [...heard.claims].filter(
    ([entryId]) => entryId !== report.fromEntryId,
  );
  const floor = floorOf(limit, homeCount);
  const taken = others
    .map(([, claim]) => committedOf(claim, floor.concurrency))
    .reduce((a, b) => combineAmounts(a, b, (x, y) => x + y), NO_AMOUNTS);
  const left = combineAmounts(all, taken, (x, y) => Math.max(x - y, 0));
  const share = fairShare(heard, report.fromEntryId, all);
  const fair = combineAmounts(share, left, Math.min);
  const granted = { ...fair, concurrency: Math.floor(fair.concurrency) };
  return { coordinated: withGrant(heard, report, granted, atMs), granted };
}

/** Notes a report, and forgets grants that ended and claims that went quiet. */
function hear(
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
    ([id, one]) => [id, refresh(one, atMs)] as const,
  );
  return { ...coordinated, claims: new Map(claims) };
}

function refresh(claim: LimitClaim, atMs: number): LimitClaim {
  const isQuiet = atMs - claim.reportedAtMs > CLAIM_MS;
  return {
    ...claim,
    wanted: isQuiet ? NO_AMOUNTS : claim.wanted,
    grants: claim.grants.filter(({ untilMs }) => untilMs > atMs),
  };
}

/** The most that a user may be using of what was granted. */
function committedOf(
  claim: LimitClaim,
  floorConcurrency: number,
): LimitAmounts {
  const granted = claim.grants
    .map(({ amounts }) => amounts)
    .reduce((a, b) => combineAmounts(a, b, Math.max), NO_AMOUNTS);
  const beyondFloor = claim.inFlight - floorConcurrency;
  return {
    ...granted,
    concurrency: Math.max(granted.concurrency, beyondFloor),
  };
}

function fairShare(
  { claims }: CoordinatedLimit,
  entryId: string,
  all: LimitAmounts,
): LimitAmounts {
  const shareOf = (kind: keyof LimitAmounts): number => {
    const wants = [...claims].map(
      ([id, { wanted }]) => [id, wanted[kind]] as const,
    );
    return divideLimit(all[kind], new Map(wants)).get(entryId) ?? 0;
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
