import type { EngineCost } from '@endivegate/contracts/forwarding';
import {
  type LoadByTarget,
  NO_LOAD,
  type TargetLoad,
} from '../engineLoad/index.ts';
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
  readonly isShort: boolean;
  /** Expected time to the first event. */
  readonly firstEventMs: number;
}

/** Options of {@link planPrompt}. */
export interface PlanPromptOptions {
  /** Numbers of engines that may read one prompt together. */
  readonly partCounts?: readonly number[];
  /** Uniform in [0, 1); spreads choices that entries make at one moment. */
  readonly random?: () => number;
  /** Cost of a part at a target; {@link partCost} by default. */
  readonly costOf?: typeof partCost;
}

/** A part of a prompt that is to be placed. */
export interface PromptPart {
  readonly readMs: number;
  /** Whether a prompt belongs to the short lane. */
  readonly isShort: boolean;
  /** Whether other engines read parts of the prompt as well. */
  readonly isHelped: boolean;
  /** Time until the prompt's first event is late. */
  readonly aimMs: number;
  /** What its being on time is worth. */
  readonly value: number;
}

/** The first engine and at most 16 helpers. */
const PART_COUNTS = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/** A part shorter than this is not worth another engine's pass. */
const LEAST_PART_MS = 25;

/** Prompts that one engine reads within this time make up the short lane. */
const SHORT_READ_MS = 160;

/** Tokens that make a prompt worth as much again as its being a request. */
const VALUE_TOKENS = 10_000;

const REQUEST_VALUE = 0.5;

/** Short prompts of one engine, as a share of its slots, that keep its passes
 * well within their pauses. */
const LANE_SLOT_USE = 0.5;

/** Engines of the short lane beyond those that are in use. */
const LANE_SPARE = 1;

/** Cost of a part of a long prompt in the short lane: it holds up the short
 * prompts that arrive while it is read. */
const LONG_INTRUSION_COST = 0.5;

/** Cost of a short prompt outside its lane, where long parts may follow it. */
const SHORT_STRAY_COST = 0.3;

/** Part of the time for a first event at which being late becomes possible,
 * and at which it is certain; predictions err by about a third. */
const AIM_SAFE = 0.5;
const AIM_LOST = 1.1;

/** The same for pauses, of which a pass is the larger part. */
const GAP_SAFE = 0.75;
const GAP_LOST = 1;

/** Delay that makes a prompt which waits beside a part late. */
const READER_SLACK_MS = 600;

/** Cost of each engine that takes part: a pass that may be awaited. */
const PART_COST = 0.01;

/** Cost of a reservation, which is an order and a round trip. */
const SEAT_COST = 0.05;

/** Cost of waiting for a slot, for each request in excess. */
const SLOT_COST = 0.8;

/** Cost of a prompt that has no room in the engine's memory. */
const NO_MEMORY_COST = 100;

/** Part of an engine's memory that is planned with, since others plan too. */
const MEMORY_USE = 0.92;

/** Cost of a target that failed moments ago. */
const AVOIDED_COST = 200;

/** Cost of the time until the first event, as a share of its aim and by the
 * second: predictions err, and engines that are free sooner serve others. */
const AIM_COST = 0.7;
const SECOND_COST = 0.6;

/** Spread of random ties. */
const TIE_COST = 0.02;

const MS_PER_S = 1000;

/** An engine, what it has to do, and the length of its passes. */
export interface EngineCandidate {
  readonly target: RosterTarget;
  readonly load: TargetLoad;
  readonly passMs: number;
  readonly isShortLane: boolean;
}

/**
 * Estimates what it is worth that a prompt is on time, in requests of a few
 * thousand tokens.
 *
 * @param promptTokens - Tokens of the prompt.
 * @returns The value.
 *
 * @example
 * valueOfPrompt(5_000); // 1
 */
export function valueOfPrompt(promptTokens: number): number {
  return REQUEST_VALUE + promptTokens / VALUE_TOKENS;
}

/**
 * Plans which engines read a prompt, and which of them writes its answer.
 *
 * Each number of parts is tried with the engines that cost least for it. Costs
 * are expected losses of requests that are on time: of the prompt itself, by
 * the predicted time to its first event; of streams whose pause a part would
 * lengthen beyond their target; and of prompts that wait beside it. Short
 * prompts prefer one end of an order of targets that all entries share, long
 * prompts the other, so the lanes need no agreement and follow the mix.
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
  const lane = shortLane(view);
  const candidates = view.targets.map((target) => describe(target, view, lane));
  const plans = partCounts
    .filter((parts) => parts === 1 || readMs / parts >= LEAST_PART_MS)
    .filter((parts) => parts <= candidates.length)
    .map((parts) =>
      planParts({ demand, view, candidates, readMs, parts }, options),
    );
  return plans.toSorted((a, b) => a.cost - b.cost)[0]?.plan;
}

/**
 * Estimates what a part costs at a target, besides the end of its prompt.
 *
 * @param part - The part.
 * @param candidate - Target, load and the length of its passes.
 * @returns Expected loss, in requests.
 *
 * @example
 * partCost({ readMs: 200, isShort: false, aimMs: 1500, value: 5 }, candidate);
 */
export function partCost(part: PromptPart, candidate: EngineCandidate): number {
  return (
    latenessCost(part, partEndMs(part, candidate)) +
    writersHarm(part.readMs, candidate) +
    (part.isHelped ? readersHarm(part.readMs, candidate) : 0) +
    laneCost(part, candidate)
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
): { readonly plan: PromptPlan; readonly cost: number } {
  const { demand, view, candidates, readMs, parts } = query;
  const { random = Math.random, costOf = partCost } = options;
  const part: PromptPart = {
    readMs: readMs / parts,
    isShort: readMs <= SHORT_READ_MS,
    isHelped: parts > 1,
    aimMs: demand.aimLeftMs,
    value: valueOfPrompt(demand.promptTokens),
  };
  const chosen = candidates
    .map((candidate) => ({
      candidate,
      cost:
        costOf(part, candidate) +
        avoidanceCost(candidate, view.nowMs) +
        (parts === 1 ? seatPrompt(demand, [candidate], view).cost : 0) +
        TIE_COST * random(),
    }))
    .toSorted((a, b) => a.cost - b.cost)
    .slice(0, parts);
  const engines = chosen.map((one) => one.candidate);
  const seating = seatPrompt(demand, engines, view);
  const endMs = Math.max(
    ...engines.map((candidate) =>
      partEndMs({ ...part, isHelped: candidate !== seating.first }, candidate),
    ),
  );
  const firstEventMs = endMs + writeMs(seating, view);
  const harm = engines.reduce(
    (sum, candidate) =>
      sum +
      writersHarm(part.readMs, candidate) +
      (candidate === seating.first ? 0 : readersHarm(part.readMs, candidate)) +
      laneCost(part, candidate) +
      avoidanceCost(candidate, view.nowMs) +
      PART_COST,
    0,
  );
  return {
    plan: {
      target: seating.first.target,
      seats: seating.seats,
      memoryTokens: seating.tokensAtFirst,
      helpers: engines
        .filter((candidate) => candidate !== seating.first)
        .map((candidate) => candidate.target),
      partReadMs: part.readMs,
      isShort: part.isShort,
      firstEventMs,
    },
    cost: latenessCost(part, firstEventMs) + harm + seating.cost,
  };
}

/**
 * Ids of the engines that are kept for short prompts: as many as those in flight
 * need, in an order that all entries share.
 */
function shortLane(view: EngineView): ReadonlySet<string> {
  const shorts = [...view.loads.values()].reduce(
    (sum, load) => sum + load.shorts,
    0,
  );
  const perEngine = Math.max(view.cost.slots * LANE_SLOT_USE, 1);
  const size = Math.ceil(shorts / perEngine) + LANE_SPARE;
  const ids = view.targets
    .filter((target) => target.avoidUntilMs <= view.nowMs)
    .toSorted((a, b) => a.laneRank - b.laneRank)
    .slice(0, size)
    .map((target) => target.id);
  return new Set(ids);
}

function describe(
  target: RosterTarget,
  view: EngineView,
  lane: ReadonlySet<string>,
): EngineCandidate {
  const load = view.loads.get(target.id) ?? NO_LOAD;
  const passMs =
    estimatePassMs(view.cost, load.writers, load.contextTokens) * target.pace;
  return { target, load, passMs, isShortLane: lane.has(target.id) };
}

/**
 * Time until a part is read: what is before it, half a pass, and itself.
 */
function partEndMs(part: PromptPart, candidate: EngineCandidate): number {
  const { target, load, passMs } = candidate;
  return (load.readMs + part.readMs) * target.pace + passMs / 2;
}

/** Expected loss of a prompt whose first event comes after `endMs`. */
function latenessCost(part: PromptPart, endMs: number): number {
  const aimShare = endMs / Math.max(part.aimMs, 1);
  const late = rampOf(aimShare, AIM_SAFE, AIM_LOST);
  const delay = AIM_COST * aimShare + (SECOND_COST * endMs) / MS_PER_S;
  return part.value * (late + delay);
}

/** Expected loss of streams at a target when a part lengthens a pause there. */
function writersHarm(readMs: number, candidate: EngineCandidate): number {
  const { target, load, passMs } = candidate;
  const pauseMs = passMs + (load.readMs + readMs) * target.pace;
  const late = rampOf(pauseMs / load.gapTargetMs, GAP_SAFE, GAP_LOST);
  return load.writersValue * late;
}

/** Expected loss of prompts that wait at a target when a part is added there. */
function readersHarm(readMs: number, candidate: EngineCandidate): number {
  const { target, load } = candidate;
  return load.readersValue * rampOf(readMs * target.pace, 0, READER_SLACK_MS);
}

function laneCost(part: PromptPart, candidate: EngineCandidate): number {
  if (part.isShort) return candidate.isShortLane ? 0 : SHORT_STRAY_COST;
  return candidate.isShortLane ? LONG_INTRUSION_COST : 0;
}

/** 0 up to `from`, 1 from `to` on, and linear between. */
function rampOf(value: number, from: number, to: number): number {
  return Math.min(Math.max((value - from) / (to - from), 0), 1);
}

interface Seating {
  readonly first: EngineCandidate;
  readonly seats: readonly MemorySeat[];
  readonly tokensAtFirst: number;
  /** Expected loss, in requests. */
  readonly cost: number;
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
    .map((candidate) => ({ candidate, cost: writerCost(candidate) }))
    .toSorted((a, b) => a.cost - b.cost)[0];
  if (roomy !== undefined) {
    return {
      first: roomy.candidate,
      seats: [],
      tokensAtFirst: tokens,
      cost: roomy.cost,
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
    const cost = NO_MEMORY_COST + writerCost(first);
    return { first, seats: [], tokensAtFirst: tokens, cost };
  }
  const seatTokens = Math.ceil(demand.promptTokens / (holders + 1));
  return {
    first,
    seats: byRoom
      .slice(1, holders + 1)
      .map(({ target }) => ({ target, tokens: seatTokens })),
    tokensAtFirst: tokens - seatTokens * holders,
    cost: writerCost(first) + holders * SEAT_COST,
  };
}

/** Cost of writing an answer at a target: its slots and its passes. */
function writerCost({ target, load, passMs }: EngineCandidate): number {
  const excess = Math.max(load.requests + 1 - target.slots, 0);
  return excess * SLOT_COST + passMs / MS_PER_S;
}

function freeTokens(candidate: EngineCandidate, view: EngineView): number {
  return view.cost.memoryTokens * MEMORY_USE - candidate.load.memoryTokens;
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

function avoidanceCost(candidate: EngineCandidate, nowMs: number): number {
  return candidate.target.avoidUntilMs > nowMs ? AVOIDED_COST : 0;
}
