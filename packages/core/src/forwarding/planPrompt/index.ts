import type { EngineCost } from '@endivegate/contracts/forwarding';
import { type LoadByTarget, NO_LOAD, type TargetLoad } from '../engineLoad/index.ts';
import { estimatePassMs, estimateReadMs } from '../engineTimes/index.ts';
import type { RosterTarget } from '../targetRoster/index.ts';

/** What a prompt asks of engines. */
export interface PromptDemand {
  readonly promptTokens: number;
  /** Tokens that it is expected to write. */
  readonly outputTokens: number;
  /** Time that is left until its first event is late. */
  readonly aimLeftMs: number;
  readonly gapTargetMs: number;
}

/** Engines that a prompt may be sent to, and what they have to do. */
export interface EngineView {
  readonly cost: EngineCost;
  readonly targets: readonly RosterTarget[];
  readonly loads: LoadByTarget;
  readonly nowMs: number;
}

/** Where a prompt goes. */
export interface PromptPlan {
  readonly target: RosterTarget;
  /** Engines that read a part each, besides `target`. */
  readonly helpers: readonly RosterTarget[];
  /** Expected reading time of each part. */
  readonly partReadMs: number;
  /** Expected time to the first event. */
  readonly firstEventMs: number;
}

/** Options of {@link planPrompt}. */
export interface PlanPromptOptions {
  /** Numbers of engines that may read one prompt together. */
  readonly partCounts?: readonly number[];
  /** Uniform in [0, 1); spreads choices that entries make at one moment. */
  readonly random?: () => number;
  /** Cost of a part at a target, in ms; {@link partCostMs} by default. */
  readonly costOf?: typeof partCostMs;
}

/** A part of a prompt that is to be placed. */
export interface PromptPart {
  readonly readMs: number;
  /** Whether a prompt belongs to the short lane. */
  readonly isShort: boolean;
}

/** The first engine and at most 16 helpers. */
const PART_COUNTS = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/** A part shorter than this is not worth another engine's pass. */
const LEAST_PART_MS = 25;

/** Prompts that one engine reads within this time make up the short lane. */
const SHORT_READ_MS = 160;

/** Range of the preference for a lane's own end of the order of targets. */
const LANE_MS = 60;

/** Cost of making the events of one other stream late. */
const LATE_WRITER_MS = 250;

/** Part of a gap target that a pass may take, since estimates err. */
const GAP_USE = 0.85;

/** Share of a part's time that it costs each reader that waits beside it. */
const READER_DELAY = 0.5;

/** Cost of each engine that takes part: a hop and a pass that may be awaited. */
const PART_OVERHEAD_MS = 6;

/** Cost of waiting for a slot, for each request in excess. */
const SLOT_WAIT_MS = 300;

/** Cost of a prompt that has no room in the engine's memory. */
const NO_MEMORY_MS = 5000;

/** Part of an engine's memory that is planned with, since others plan too. */
const MEMORY_USE = 0.92;

/** Cost of a target that failed moments ago. */
const AVOIDED_MS = 20_000;

/** Spread of random ties. */
const TIE_MS = 6;

/** An engine, what it has to do, and the length of its passes. */
export interface EngineCandidate {
  readonly target: RosterTarget;
  readonly load: TargetLoad;
  readonly passMs: number;
}

/**
 * Plans which engines read a prompt, and which of them writes its answer.
 *
 * Each number of parts is tried with the engines that cost least for it. The
 * cost of an engine is the predicted end of its part, with what the part costs
 * requests that are already there: streams whose pause would pass their target,
 * and prompts that wait. Short prompts prefer one end of an order of targets
 * that all entries share, long prompts the other, so the lanes need no
 * agreement and follow the mix.
 *
 * @param demand - The prompt.
 * @param view - Engines and their load.
 * @param options - Numbers of parts, randomness and the cost function.
 * @returns The plan, or undefined without any engine.
 *
 * @example
 * planPrompt({ promptTokens, outputTokens, aimLeftMs, gapTargetMs }, view);
 */
export function planPrompt(
  demand: PromptDemand,
  view: EngineView,
  options: PlanPromptOptions = {},
): PromptPlan | undefined {
  const { partCounts = PART_COUNTS } = options;
  const readMs = estimateReadMs(view.cost, demand.promptTokens);
  const candidates = view.targets.map((target) => describe(target, view));
  const plans = partCounts
    .filter((parts) => parts === 1 || readMs / parts >= LEAST_PART_MS)
    .filter((parts) => parts <= candidates.length)
    .map((parts) => planParts({ demand, view, candidates, readMs, parts }, options));
  return plans.toSorted((a, b) => a.costMs - b.costMs)[0]?.plan;
}

/**
 * Estimates what a part costs at a target: the time until it is read, and the
 * delay that it causes there.
 *
 * @param part - The part.
 * @param candidate - Target, load and the length of its passes.
 * @returns Cost in milliseconds.
 */
export function partCostMs(part: PromptPart, candidate: EngineCandidate): number {
  const { target } = candidate;
  const laneShare = part.isShort ? target.laneRank : 1 - target.laneRank;
  return (
    partEndMs(part.readMs, candidate) +
    harmMs(part.readMs, candidate) +
    LANE_MS * laneShare
  );
}

interface PartsQuery {
  readonly demand: PromptDemand;
  readonly view: EngineView;
  readonly candidates: readonly EngineCandidate[];
  readonly readMs: number;
  readonly parts: number;
}

function planParts(
  query: PartsQuery,
  options: PlanPromptOptions,
): { readonly plan: PromptPlan; readonly costMs: number } {
  const { demand, view, candidates, readMs, parts } = query;
  const { random = Math.random, costOf = partCostMs } = options;
  const part = { readMs: readMs / parts, isShort: readMs <= SHORT_READ_MS };
  const costed = candidates
    .map((candidate) => ({
      candidate,
      costMs:
        costOf(part, candidate) +
        avoidanceMs(candidate, view.nowMs) +
        (parts === 1 ? placeMs(demand, candidate, view) : 0) +
        TIE_MS * random(),
    }))
    .toSorted((a, b) => a.costMs - b.costMs)
    .slice(0, parts);
  const first = costed
    .map((one) => ({
      ...one,
      placeMs: placeMs(demand, one.candidate, view) + one.candidate.passMs,
    }))
    .toSorted((a, b) => a.placeMs - b.placeMs)[0];
  if (first === undefined) throw new Error('no candidates to plan with');
  const chosen = costed.map((one) => one.candidate);
  const endMs = Math.max(
    ...chosen.map((candidate) => partEndMs(part.readMs, candidate)),
  );
  const firstEventMs = endMs + writeMs(first.candidate, demand, view);
  const harm = chosen.reduce(
    (sum, candidate) =>
      sum +
      harmMs(part.readMs, candidate) +
      avoidanceMs(candidate, view.nowMs) +
      PART_OVERHEAD_MS,
    0,
  );
  const own = costed.reduce((sum, one) => sum + one.costMs, 0) / parts;
  const latenessMs = Math.max(firstEventMs - demand.aimLeftMs, 0);
  return {
    plan: {
      target: first.candidate.target,
      helpers: chosen
        .filter((candidate) => candidate !== first.candidate)
        .map((candidate) => candidate.target),
      partReadMs: part.readMs,
      firstEventMs,
    },
    costMs: endMs + latenessMs + harm + own + first.placeMs,
  };
}

function describe(target: RosterTarget, view: EngineView): EngineCandidate {
  const load = view.loads.get(target.id) ?? NO_LOAD;
  const passMs =
    estimatePassMs(view.cost, load.writers, load.contextTokens) * target.pace;
  return { target, load, passMs };
}

/** Time until a part is read: what is before it, half a pass, and itself. */
function partEndMs(readMs: number, candidate: EngineCandidate): number {
  const { target, load, passMs } = candidate;
  return (load.readMs + readMs) * target.pace + passMs / 2;
}

function harmMs(readMs: number, candidate: EngineCandidate): number {
  const { target, load, passMs } = candidate;
  const pauseMs = passMs + readMs * target.pace;
  const isLate = pauseMs > load.gapTargetMs * GAP_USE;
  return (
    (isLate ? load.writers * LATE_WRITER_MS : 0) +
    load.readers * readMs * READER_DELAY
  );
}

/** Cost of writing the answer at a target: its slots and its memory. */
function placeMs(
  demand: PromptDemand,
  candidate: EngineCandidate,
  view: EngineView,
): number {
  const { target, load } = candidate;
  const excess = Math.max(load.requests + 1 - target.slots, 0);
  const tokens = load.memoryTokens + demand.promptTokens + demand.outputTokens;
  const fits = tokens <= view.cost.memoryTokens * MEMORY_USE;
  return excess * SLOT_WAIT_MS + (fits ? 0 : NO_MEMORY_MS);
}

/** Time from the end of reading to the first event: a pass with this writer. */
function writeMs(
  candidate: EngineCandidate,
  demand: PromptDemand,
  view: EngineView,
): number {
  const { load, target } = candidate;
  return (
    target.pace *
    estimatePassMs(
      view.cost,
      load.writers + 1,
      load.contextTokens + demand.promptTokens,
    )
  );
}

function avoidanceMs(candidate: EngineCandidate, nowMs: number): number {
  return candidate.target.avoidUntilMs > nowMs ? AVOIDED_MS : 0;
}
