/** Expected losses, in requests that are on time. */
import type { EngineCandidate, PromptPart } from './types.ts';

/** Cost of a part of a long prompt in the short lane: it holds up the short
 * prompts that arrive while it is read. */
const LONG_INTRUSION_COST = 0.5;

/** Cost of a short prompt outside its lane, where long parts may follow it. */
const SHORT_STRAY_COST = 0.3;

/** Part of the time for a first event at which being late becomes possible,
 * and at which it is certain; predictions err by about a third. */
const AIM_SAFE = 0.5;

const AIM_LOST = 1.1;

/** Loss of a prompt's value when it is late, and when its caller leaves. */
const LATE_LOSS = 0.75;

const LEFT_LOSS = 0.25;

/** Part of a caller's patience from which it may leave, and at which it does. */
const PATIENCE_SAFE = 0.5;

const PATIENCE_LOST = 0.9;

/** The same for pauses, of which a pass is the larger part. */
const GAP_SAFE = 0.75;

const GAP_LOST = 1;

/** Delay that makes a prompt which waits beside a part late. */
const READER_SLACK_MS = 600;

/** Cost of a target that failed moments ago. */
const AVOIDED_COST = 200;

/** Cost of the time until the first event, as a share of its aim and by the
 * second: predictions err, and engines that are free sooner serve others. */
const AIM_COST = 0.7;

const SECOND_COST = 0.6;

/** Cost of a wait as long as the caller's patience: who leaves comes again. */
const PATIENCE_COST = 0.5;

/** Cost of waiting for a slot, for each request in excess. */
const SLOT_COST = 0.8;

const MS_PER_S = 1000;

/**
 * Time until a part is read: what is before it, half a pass, and itself.
 */
export function partEndMs(
  part: PromptPart,
  candidate: EngineCandidate,
): number {
  const { target, load, passMs } = candidate;
  return (load.prefillMs + part.readMs) * target.pace + passMs / 2;
}

/**
 * Expected loss of a prompt whose first event comes after `endMs`: most of its
 * value when it is late, the rest when its caller has left. Time beyond the aim
 * costs by the caller's patience only, so a prompt that cannot be on time leaves
 * engines to others, but is not kept waiting until its caller leaves.
 */
export function latenessCost(part: PromptPart, endMs: number): number {
  const aimShare = endMs / Math.max(part.aimMs, 1);
  const late = LATE_LOSS * rampOf(aimShare, AIM_SAFE, AIM_LOST);
  const left =
    LEFT_LOSS * rampOf(endMs / part.patienceMs, PATIENCE_SAFE, PATIENCE_LOST);
  const inAimMs = Math.min(endMs, Math.max(part.aimMs, 0) * AIM_LOST);
  const delay =
    AIM_COST * Math.min(aimShare, AIM_LOST) +
    (SECOND_COST * inAimMs) / MS_PER_S +
    (PATIENCE_COST * endMs) / part.patienceMs;
  return part.value * (late + left + delay);
}

/** Expected loss of streams at a target when a part lengthens a pause there. */
export function writersHarm(
  readMs: number,
  candidate: EngineCandidate,
): number {
  const { target, load, passMs } = candidate;
  const pauseMs = passMs + (load.prefillMs + readMs) * target.pace;
  const late = rampOf(pauseMs / load.gapTargetMs, GAP_SAFE, GAP_LOST);
  return load.writersValue * late;
}

/** Expected loss of prompts that wait at a target when a part is added there. */
export function readersHarm(
  readMs: number,
  candidate: EngineCandidate,
): number {
  const { target, load } = candidate;
  return load.readersValue * rampOf(readMs * target.pace, 0, READER_SLACK_MS);
}

/** Expected loss of a part outside the lane that is kept for its like. */
export function laneCost(part: PromptPart, candidate: EngineCandidate): number {
  if (part.isShort) return candidate.isShortLane ? 0 : SHORT_STRAY_COST;
  return candidate.isShortLane ? LONG_INTRUSION_COST : 0;
}

/** Cost of writing an answer at a target: its slots and its passes. */
export function writerCost({ target, load, passMs }: EngineCandidate): number {
  const excess = Math.max(load.requests + 1 - target.slots, 0);
  return excess * SLOT_COST + passMs / MS_PER_S;
}

/** Cost of a target that failed moments ago. */
export function avoidanceCost(
  candidate: EngineCandidate,
  nowMs: number,
): number {
  return candidate.target.avoidUntilMs > nowMs ? AVOIDED_COST : 0;
}

/** 0 up to `from`, 1 from `to` on, and linear between. */
function rampOf(value: number, from: number, to: number): number {
  return Math.min(Math.max((value - from) / (to - from), 0), 1);
}
