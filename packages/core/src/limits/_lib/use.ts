import type { LimitAmounts } from '@endivegate/contracts';
import { addAmounts, floorOf, NO_AMOUNTS } from './amounts.ts';
import { GRANT_MS } from './coordinate.ts';

/** Interval between two reports of a limit in use. */
export const REPORT_MS = 500;

/** Minimum interval between two reports; applies while requests wait. */
const MIN_REPORT_MS = 100;

/** Fraction of the reported demand that is carried over to the next report. */
const DEMAND_DECAY = 0.7;

/** Factor by which the reported demand exceeds the measured one. */
const DEMAND_HEADROOM = 1.25;

/** Time for which unused rate accumulates, which bounds bursts. */
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
  /** Token bucket levels; the token credit is negative after a request larger than
   * the burst. */
  readonly requestCredit: number;
  readonly tokenCredit: number;
  readonly creditAtMs: number;
  /** Demand since the last report, and the demand last reported. */
  readonly arrivedRequests: number;
  readonly arrivedTokens: number;
  readonly wanted: LimitAmounts;
  readonly reportedAtMs: number;
  /** Number of requests in flight in the last report. */
  readonly reportedInFlight: number;
  /** Whether the coordinator has answered the last report. */
  readonly isAcknowledged: boolean;
}

/** Creates the state of a limit that is not used yet. */
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

/** Returns what an entry may use now: its floor, plus its grant while it is valid. */
export function allowanceOf(use: LimitUse, atMs: number): LimitAmounts {
  const floor = use.isHome ? floorOf(use.limit, use.homeCount) : NO_AMOUNTS;
  return atMs < use.grantedUntilMs ? addAmounts(floor, use.granted) : floor;
}

/** Counts the demand of a request, whether it is allowed or not. */
export function noteDemand(use: LimitUse, tokens: number): LimitUse {
  return {
    ...use,
    arrivedRequests: use.arrivedRequests + 1,
    arrivedTokens: use.arrivedTokens + tokens,
  };
}

/** Takes the allowance for a request; `undefined` if it is exhausted. */
export function acquireLimit(
  use: LimitUse,
  tokens: number,
  atMs: number,
): LimitUse | undefined {
  const allowance = allowanceOf(use, atMs);
  const filled = refill(use, allowance, atMs);
  const hasAllowance = Object.values(allowance).every((amount) => amount > 0);
  const isAllowed =
    hasAllowance &&
    filled.inFlight < allowance.concurrency &&
    filled.requestCredit >= 1 &&
    filled.tokenCredit >= Math.min(tokens, tokenBurst(allowance));
  if (!isAllowed) return undefined;
  return {
    ...filled,
    inFlight: filled.inFlight + 1,
    requestCredit: filled.requestCredit - 1,
    tokenCredit: filled.tokenCredit - tokens,
  };
}

/** Releases the concurrency of a request that has ended. */
export function releaseLimit(use: LimitUse): LimitUse {
  return { ...use, inFlight: Math.max(use.inFlight - 1, 0) };
}

/**
 * Returns whether a report is due; reports are more frequent while requests wait.
 *
 * Reports continue until the coordinator has acknowledged one without requests in
 * flight, because it subtracts the last reported use from what others may get.
 */
export function isReportDue(
  use: LimitUse,
  waiting: number,
  atMs: number,
): boolean {
  const elapsedMs = atMs - use.reportedAtMs;
  const isActive = use.inFlight + use.arrivedRequests + waiting > 0;
  const isSettled = use.reportedInFlight === 0 && use.isAcknowledged;
  return (
    (isActive || !isSettled) &&
    elapsedMs >= (waiting > 0 ? MIN_REPORT_MS : REPORT_MS)
  );
}

/** Computes the demand to report from the requests since the last report. */
export function reportLimit(
  use: LimitUse,
  waiting: number,
  atMs: number,
): LimitUse {
  const measuredMs = Math.max(
    Math.min(atMs - use.reportedAtMs, BURST_MS),
    REPORT_MS,
  );
  const rateOf = (arrived: number, before: number): number =>
    Math.max(
      (arrived * 1_000 * DEMAND_HEADROOM) / measuredMs,
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

/** Applies a grant, which is valid from the time at which the report that
 * requested it was sent. An older grant than the current one is ignored. */
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
