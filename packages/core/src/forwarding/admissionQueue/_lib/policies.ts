import type { CompareQueued, QueuedRequest, QueuePolicy } from './types.ts';

/** Tokens held for the usual time of a request that cost as much as 1 ms of
 * prefill: an engine of 340,000 tokens that holds a prompt for 3.4 s. */
const MEMORY_TOKENS_PER_MS = 100;

/** Difference in service between workspaces below which the cost of delay decides;
 * the charge of two short prompts. With 2,000 ms, which is more than the charge of
 * one prompt of 45,000 tokens, a workspace at ten times its share kept others from
 * theirs: 87 of 135 served instead of 131. */
const SHARE_TOLERANCE_MS = 250;

/** Added to the remaining time, so that the cost of delay is finite. */
const MIN_SLACK_MS = 100;

/** Wait that doubles the cost of delay. */
const AGE_UNIT_MS = 1000;

/** Fraction of its value that a late request keeps. */
const LATE_VALUE_SHARE = 0.25;

/** Maximum number of waiting requests at one entry, and of bytes of their bodies:
 * 1.6% of the memory of the smallest entry (250 MB). */
const MAX_REQUESTS = 64;
const MAX_BYTES = 4 * 1024 * 1024;

/**
 * Returns what a request takes of its workspace's share, in ms of one engine: its
 * prefill time and the memory that it holds.
 */
export function chargeOf(
  request: Pick<QueuedRequest, 'prefillMs' | 'memoryTokens'>,
): number {
  return request.prefillMs + request.memoryTokens / MEMORY_TOKENS_PER_MS;
}

/** Weight of a priority in shares and in the cost of delay; 1 for priority 0. */
export function weightOf({
  priority,
}: Pick<QueuedRequest, 'priority'>): number {
  return 1 / (1 + Math.max(priority, 0));
}

/** Orders by the service that workspaces have received, and within the tolerance
 * by the cost of delay per capacity used. */
export const byCostOfDelay: CompareQueued = (a, b, { nowMs, state }) => {
  const bandOf = ({ workspace }: QueuedRequest): number => {
    const paidUntil = state.paidUntilByWorkspace.get(workspace) ?? 0;
    const aheadMs = Math.max(paidUntil - state.virtualMs, 0);
    return Math.floor(aheadMs / SHARE_TOLERANCE_MS);
  };
  return (
    bandOf(a) - bandOf(b) ||
    delayCostOf(b, nowMs) - delayCostOf(a, nowMs) ||
    byArrival(a, b)
  );
};

/** Cost of a further delay of a request, per capacity that it uses: highest just
 * before the last start that is on time, and growing with the wait. */
function delayCostOf(request: QueuedRequest, nowMs: number): number {
  const slackMs = request.latestOnTimeStartMs - nowMs;
  const isLate = slackMs < 0;
  const leftMs = isLate ? Math.max(request.expiresAtMs - nowMs, 0) : slackMs;
  const value = request.value * (isLate ? LATE_VALUE_SHARE : 1);
  const age = 1 + Math.max(nowMs - request.queuedAtMs, 0) / AGE_UNIT_MS;
  return (
    (value * weightOf(request) * age) /
    (leftMs + MIN_SLACK_MS) /
    Math.max(chargeOf(request), 1)
  );
}

/** Orders by arrival; requests that arrived together by their id. */
export function byArrival(a: QueuedRequest, b: QueuedRequest): number {
  return a.queuedAtMs - b.queuedAtMs || (a.id < b.id ? -1 : 1);
}

/** Orders by the last start that is on time. */
export const byDeadline: CompareQueued = (a, b) =>
  a.latestOnTimeStartMs - b.latestOnTimeStartMs || byArrival(a, b);

/** The policy of the gateway. */
export const costOfDelayPolicy: QueuePolicy = {
  compare: byCostOfDelay,
  whenFull: 'wait',
  overtakes: true,
  reservedShare: 0.5,
  shortLaneShare: 0.3,
  maxRequests: MAX_REQUESTS,
  maxBytes: MAX_BYTES,
};

/** Baselines to compare with. */
export const baselinePolicies = {
  /** Sends whether or not there is room. */
  noQueue: { ...costOfDelayPolicy, whenFull: 'start', reservedShare: 0 },
  refuseWhenFull: {
    ...costOfDelayPolicy,
    whenFull: 'refuse',
    reservedShare: 0,
  },
  firstComeFirstServed: {
    ...costOfDelayPolicy,
    compare: byArrival,
    overtakes: false,
    reservedShare: 0,
  },
  earliestDeadlineFirst: {
    ...costOfDelayPolicy,
    compare: byDeadline,
    overtakes: false,
    reservedShare: 0,
  },
} as const satisfies Readonly<Record<string, QueuePolicy>>;
