/** Cost functions of the planner: expected losses, in on-time requests. */
import { LATE_VALUE_FACTOR } from '../../engineLoad/index.ts';
import type { EngineCandidate, PromptPart } from './types.ts';

/** Cost of a part of a long prompt in the short lane: it delays the short
 * prompts that arrive during its prefill. */
const LONG_IN_SHORT_LANE_COST = 0.5;

/** Cost of a short prompt outside its lane, where parts of long prompts may be
 * queued behind it. */
const SHORT_OUTSIDE_LANE_COST = 0.3;

/** Fractions of the latency budget between which the probability of being late
 * rises from 0 to 1; predictions are off by about a third. */
const LATENCY_RAMP_START = 0.5;

const LATENCY_RAMP_END = 1.1;

/** Fractions of a prompt's value lost when it is late, and when its caller has
 * given up. */
const LATE_VALUE_LOSS = 1 - LATE_VALUE_FACTOR;

const CALLER_GONE_VALUE_LOSS = LATE_VALUE_FACTOR;

/** Fractions of a caller's patience between which the probability that it gives
 * up rises from 0 to 1. */
const PATIENCE_RAMP_START = 0.5;

const PATIENCE_RAMP_END = 0.9;

/** Fractions of the gap target between which the probability of a late event
 * rises from 0 to 1. A pass makes up most of a gap. */
const GAP_RAMP_START = 0.75;

const GAP_RAMP_END = 1;

/** Delay at which a prompt that waits for the prefill of another part is certain
 * to be late. */
const PREFILL_DELAY_RAMP_END_MS = 1500;

/** Cost of a target that failed recently. */
const AVOIDED_TARGET_COST = 200;

/** Cost of the time until the first event, per latency budget and per second:
 * predictions have errors, and engines that are free sooner serve other
 * prompts. */
const LATENCY_SHARE_COST = 0.7;

const COST_PER_SECOND = 0.6;

/** Cost of a wait as long as the caller's patience: a caller that gives up
 * retries. */
const PATIENCE_SHARE_COST = 0.5;

/** Cost of waiting for a slot, per request in excess of the slots. */
const COST_PER_EXCESS_REQUEST = 0.8;

const MS_PER_S = 1000;

/**
 * Estimates the time until a part is prefilled: half a pass on average, and its own
 * prefill. An engine reads the parts of a split prompt ahead of all that it has to
 * read, those of earlier split prompts included, and a whole prompt after it.
 */
export function estimatePartEndMs(
  part: PromptPart,
  candidate: EngineCandidate,
): number {
  const { target, load, passMs } = candidate;
  const queuedMs = part.isSplit ? 0 : load.prefillMs;
  return (queuedMs + part.prefillMs) * target.slowdown + passMs / 2;
}

/**
 * Expected loss of a prompt whose first event arrives after `endMs`: most of its
 * value when it is late, the rest when its caller has given up. Time beyond the
 * latency budget costs only a share of the caller's patience. A prompt that
 * cannot be on time therefore leaves engines to other prompts, but does not wait
 * until its caller gives up.
 */
export function latenessCost(part: PromptPart, endMs: number): number {
  const latencyShare = endMs / Math.max(part.latencyBudgetMs, 1);
  const lateLoss = LATE_VALUE_LOSS * estimateLateShare(part, endMs);
  const callerGoneLoss =
    CALLER_GONE_VALUE_LOSS *
    linearRamp(endMs / part.patienceMs, PATIENCE_RAMP_START, PATIENCE_RAMP_END);
  const chargedMs = Math.min(
    endMs,
    Math.max(part.latencyBudgetMs, 0) * LATENCY_RAMP_END,
  );
  const delayCost =
    LATENCY_SHARE_COST * Math.min(latencyShare, LATENCY_RAMP_END) +
    (COST_PER_SECOND * chargedMs) / MS_PER_S +
    (PATIENCE_SHARE_COST * endMs) / part.patienceMs;
  return part.value * (lateLoss + callerGoneLoss + delayCost);
}

/** Probability that a prompt whose first event is predicted after `endMs` is late. */
export function estimateLateShare(
  part: Pick<PromptPart, 'latencyBudgetMs'>,
  endMs: number,
): number {
  const latencyShare = endMs / Math.max(part.latencyBudgetMs, 1);
  return linearRamp(latencyShare, LATENCY_RAMP_START, LATENCY_RAMP_END);
}

/** Expected loss of the target's streams when a part lengthens one of their gaps. */
export function decodingDelayCost(
  prefillMs: number,
  candidate: EngineCandidate,
): number {
  const { target, load, passMs } = candidate;
  const gapMs = passMs + (load.prefillMs + prefillMs) * target.slowdown;
  const lateShare = linearRamp(
    gapMs / load.gapTargetMs,
    GAP_RAMP_START,
    GAP_RAMP_END,
  );
  return load.decodingValue * lateShare;
}

/** Expected loss of the prompts that wait at targets when each gets one more part. A
 * prompt that waits at several of them is lost only once. */
export function prefillDelayCost(
  prefillMs: number,
  candidates: readonly EngineCandidate[],
): number {
  const slowdown = Math.max(...candidates.map(({ target }) => target.slowdown));
  const waiting = new Set(candidates.flatMap(({ load }) => load.waiting));
  const value = [...waiting].reduce((sum, flight) => sum + flight.value, 0);
  return value * linearRamp(prefillMs * slowdown, 0, PREFILL_DELAY_RAMP_END_MS);
}

/** Expected loss when a part is placed outside the lane for its prompt length. */
export function laneCost(part: PromptPart, candidate: EngineCandidate): number {
  if (part.isShort) return candidate.isShortLane ? 0 : SHORT_OUTSIDE_LANE_COST;
  return candidate.isShortLane ? LONG_IN_SHORT_LANE_COST : 0;
}

/** Cost of decoding an answer at a target: waiting for a slot, and pass time. */
export function decodingCost({
  target,
  load,
  passMs,
}: EngineCandidate): number {
  const excess = Math.max(load.requests + 1 - target.slots, 0);
  return excess * COST_PER_EXCESS_REQUEST + passMs / MS_PER_S;
}

/** Cost of choosing a target that failed recently. */
export function avoidanceCost(
  candidate: EngineCandidate,
  nowMs: number,
): number {
  return candidate.target.avoidUntilMs > nowMs ? AVOIDED_TARGET_COST : 0;
}

/** Returns 0 up to `from`, 1 from `to` on, and interpolates linearly between. */
function linearRamp(value: number, from: number, to: number): number {
  return Math.min(Math.max((value - from) / (to - from), 0), 1);
}
