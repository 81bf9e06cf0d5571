import type { LimitAmounts } from '@endivegate/contracts';
import { addAmounts, floorOf, NO_AMOUNTS } from './amounts.ts';
import { GRANT_MS } from './coordinate.ts';

/** Time between two reports of a limit in use. */
export const REPORT_MS = 500;

/** Least time between two reports. */
const MIN_REPORT_MS = 100;

/** Part of a demand that is remembered from one report to the next. */
const DEMAND_DECAY = 0.7;

/** Room asked for beyond the present demand. */
const DEMAND_HEADROOM = 1.25;

/** Time over which unused rate is kept. */
const BURST_MS = 1_000;

/** An entry's use of one limit. */
export interface LimitUse {
  readonly limit: LimitAmounts;
  readonly homeCount: number;
  readonly isHome: boolean;
  readonly coordinatorId: string;
  readonly inFlight: number;
  readonly granted: LimitAmounts;
  readonly grantedUntilMs: number;
  /** Unused rate; negative after a request larger than the burst. */
  readonly requestCredit: number;
  readonly tokenCredit: number;
  readonly creditAtMs: number;
  /** Demand since the last report, and as it was reported. */
  readonly arrivedRequests: number;
  readonly arrivedTokens: number;
  readonly wanted: LimitAmounts;
  readonly reportedAtMs: number;
  /** Requests in flight as last reported. */
  readonly reportedInFlight: number;
  /** Whether the coordinator has answered the last report. */
  readonly isAcknowledged: boolean;
}

/** Returns a use that has not begun. */
export function newLimitUse(
  fixed: Pick<LimitUse, 'limit' | 'homeCount' | 'isHome' | 'coordinatorId'>,
  atMs: number,
): LimitUse {
  const floor = floorOf(fixed.limit, fixed.homeCount);
  return {
    ...fixed,
    inFlight: 0,
    granted: NO_AMOUNTS,
    grantedUntilMs: 0,
    requestCredit: requestBurst(floor),
    tokenCredit: tokenBurst(floor),
    creditAtMs: atMs,
    arrivedRequests: 0,
    arrivedTokens: 0,
    wanted: NO_AMOUNTS,
    reportedAtMs: -Infinity,
    reportedInFlight: 0,
    isAcknowledged: true,
  };
}

/** Returns what an entry may use now: its floor, and its grant while it lasts. */
export function allowanceOf(use: LimitUse, atMs: number): LimitAmounts {
  const floor = use.isHome ? floorOf(use.limit, use.homeCount) : NO_AMOUNTS;
  return atMs < use.grantedUntilMs ? addAmounts(floor, use.granted) : floor;
}

/** Counts a request's demand, whether it is let through or not. */
export function noteDemand(use: LimitUse, tokens: number): LimitUse {
  return {
    ...use,
    arrivedRequests: use.arrivedRequests + 1,
    arrivedTokens: use.arrivedTokens + tokens,
  };
}

/** Lets a request through, or returns `undefined` when the allowance is used up. */
export function takeLimit(
  use: LimitUse,
  tokens: number,
  atMs: number,
): LimitUse | undefined {
  const allowance = allowanceOf(use, atMs);
  const filled = refill(use, allowance, atMs);
  const isOpen = Object.values(allowance).every((amount) => amount > 0);
  const isFree =
    isOpen &&
    filled.inFlight < allowance.concurrency &&
    filled.requestCredit >= 1 &&
    filled.tokenCredit >= Math.min(tokens, tokenBurst(allowance));
  if (!isFree) return undefined;
  return {
    ...filled,
    inFlight: filled.inFlight + 1,
    requestCredit: filled.requestCredit - 1,
    tokenCredit: filled.tokenCredit - tokens,
  };
}

/** Gives a request's concurrency back. */
export function releaseLimit(use: LimitUse): LimitUse {
  return { ...use, inFlight: Math.max(use.inFlight - 1, 0) };
}

/**
 * Tells whether a report is due; one that waits is reported sooner.
 *
 * Reports go on until the coordinator has answered one with nothing in flight,
 * since it counts what was last reported against the others.
 */
export function isReportDue(
  use: LimitUse,
  waiting: number,
  atMs: number,
): boolean {
  const sinceMs = atMs - use.reportedAtMs;
  const isActive = use.inFlight + use.arrivedRequests + waiting > 0;
  const isSettled = use.reportedInFlight === 0 && use.isAcknowledged;
  return (
    (isActive || !isSettled) &&
    sinceMs >= (waiting > 0 ? MIN_REPORT_MS : REPORT_MS)
  );
}

/** Turns the demand since the last report into what is wanted. */
export function reportLimit(
  use: LimitUse,
  waiting: number,
  atMs: number,
): LimitUse {
  const spanMs = Math.max(
    Math.min(atMs - use.reportedAtMs, BURST_MS),
    REPORT_MS,
  );
  const rateOf = (arrived: number, before: number): number =>
    Math.max(
      (arrived * 1_000 * DEMAND_HEADROOM) / spanMs,
      before * DEMAND_DECAY,
    );
  return {
    ...use,
    wanted: {
      concurrency: Math.ceil((use.inFlight + waiting) * DEMAND_HEADROOM) + 1,
      requestsPerSecond: rateOf(
        use.arrivedRequests,
        use.wanted.requestsPerSecond,
      ),
      tokensPerSecond: rateOf(use.arrivedTokens, use.wanted.tokensPerSecond),
    },
    arrivedRequests: 0,
    arrivedTokens: 0,
    reportedAtMs: atMs,
    reportedInFlight: use.inFlight,
    isAcknowledged: false,
  };
}

/** Takes a grant, valid from when the report that asked for it was sent. */
export function acceptGrant(
  use: LimitUse,
  granted: LimitAmounts,
  times: { readonly reportedAtMs: number; readonly atMs: number },
): LimitUse {
  const grantedUntilMs = times.reportedAtMs + GRANT_MS;
  if (grantedUntilMs < use.grantedUntilMs) return use;
  const isAcknowledged = times.reportedAtMs === use.reportedAtMs;
  const filled = refill(use, allowanceOf(use, times.atMs), times.atMs);
  return { ...filled, granted, grantedUntilMs, isAcknowledged };
}

function refill(
  use: LimitUse,
  allowance: LimitAmounts,
  atMs: number,
): LimitUse {
  const seconds = (atMs - use.creditAtMs) / 1_000;
  const { requestsPerSecond, tokensPerSecond } = allowance;
  return {
    ...use,
    requestCredit: Math.min(
      use.requestCredit + seconds * requestsPerSecond,
      requestBurst(allowance),
    ),
    tokenCredit: Math.min(
      use.tokenCredit + seconds * tokensPerSecond,
      tokenBurst(allowance),
    ),
    creditAtMs: atMs,
  };
}

function requestBurst({ requestsPerSecond }: LimitAmounts): number {
  return Math.max((requestsPerSecond * BURST_MS) / 1_000, 1);
}

function tokenBurst({ tokensPerSecond }: LimitAmounts): number {
  return (tokensPerSecond * BURST_MS) / 1_000;
}
