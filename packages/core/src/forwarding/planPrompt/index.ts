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

/** Memory that a part of a prompt is stored in at a helper. */
export interface MemorySeat {
  readonly target: RosterTarget;
  readonly tokens: number;
}

/** Where a prompt goes. */
export interface PromptPlan {
  readonly target: RosterTarget;
  /** Memory to reserve at helpers, when no engine has room for the prompt. */
  readonly seats: readonly MemorySeat[];
  /** Tokens that the prompt and its answer take at `target`. */
  readonly memoryTokens: number;
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

/** Cost of a reservation: an order and its answer before the prompt is sent. */
const SEAT_MS = 10;

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
        (parts === 1 ? seatPrompt(demand, [candidate], view).costMs : 0) +
        TIE_MS * random(),
    }))
    .toSorted((a, b) => a.costMs - b.costMs)
    .slice(0, parts);
  const chosen = costed.map((one) => one.candidate);
  const seating = seatPrompt(demand, chosen, view);
  const { first } = seating;
  const endMs = Math.max(
    ...chosen.map((candidate) => partEndMs(part.readMs, candidate)),
  );
  const firstEventMs = endMs + writeMs(seating, view);
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
      target: first.target,
      seats: seating.seats,
      memoryTokens: seating.tokensAtFirst,
      helpers: chosen
        .filter((candidate) => candidate !== first)
        .map((candidate) => candidate.target),
      partReadMs: part.readMs,
      firstEventMs,
    },
    costMs: endMs + latenessMs + harm + own + seating.costMs,
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

interface Seating {
  readonly first: EngineCandidate;
  readonly seats: readonly MemorySeat[];
  readonly tokensAtFirst: number;
  readonly costMs: number;
}

/**
 * Chooses which of the engines writes the answer, and where the prompt's memory
 * lies: at that engine if it has room, else in even parts at as few as possible.
 */
function seatPrompt(
  demand: PromptDemand,
  chosen: readonly EngineCandidate[],
  view: EngineView,
): Seating {
  const tokens = demand.promptTokens + demand.outputTokens;
  const roomy = chosen
    .filter((candidate) => freeTokens(candidate, view) >= tokens)
    .map((candidate) => ({ candidate, costMs: writerMs(candidate) }))
    .toSorted((a, b) => a.costMs - b.costMs)[0];
  if (roomy !== undefined) {
    return {
      first: roomy.candidate,
      seats: [],
      tokensAtFirst: tokens,
      costMs: roomy.costMs,
    };
  }
  const byRoom = chosen.toSorted(
    (a, b) => freeTokens(b, view) - freeTokens(a, view),
  );
  const [first] = byRoom;
  if (first === undefined) throw new Error('no candidates to plan with');
  const holders = byRoom.findIndex(
    (candidate, index) =>
      index > 0 && freeTokens(candidate, view) >= tokens / (index + 1),
  );
  if (holders < 0) {
    const costMs = NO_MEMORY_MS + writerMs(first);
    return { first, seats: [], tokensAtFirst: tokens, costMs };
  }
  const seatTokens = Math.ceil(demand.promptTokens / (holders + 1));
  return {
    first,
    seats: byRoom
      .slice(1, holders + 1)
      .map(({ target }) => ({ target, tokens: seatTokens })),
    tokensAtFirst: tokens - seatTokens * holders,
    costMs: writerMs(first) + holders * SEAT_MS,
  };
}

/** Cost of writing an answer at a target: its slots and its passes. */
function writerMs({ target, load, passMs }: EngineCandidate): number {
  const excess = Math.max(load.requests + 1 - target.slots, 0);
  return excess * SLOT_WAIT_MS + passMs;
}

function freeTokens(candidate: EngineCandidate, view: EngineView): number {
  return (
    view.cost.memoryTokens * MEMORY_USE - candidate.load.memoryTokens
  );
}

/** Time from the end of reading to the first event: a pass with this writer. */
function writeMs(seating: Seating, view: EngineView): number {
  const { load, target } = seating.first;
  return (
    target.pace *
    estimatePassMs(
      view.cost,
      load.writers + 1,
      load.contextTokens + seating.tokensAtFirst,
    )
  );
}

function avoidanceMs(candidate: EngineCandidate, nowMs: number): number {
  return candidate.target.avoidUntilMs > nowMs ? AVOIDED_MS : 0;
}
