import { NO_LOAD } from '../engineLoad/index.ts';
import { estimatePassMs, estimateReadMs } from '../engineTimes/index.ts';
import type { RosterTarget } from '../targetRoster/index.ts';
import {
  avoidanceCost,
  laneCost,
  latenessCost,
  partEndMs,
  readersHarm,
  writersHarm,
} from './_lib/costs.ts';
import { shortLane } from './_lib/lanes.ts';
import { seatPrompt, slotWaitMs, writeMs } from './_lib/seats.ts';
import type {
  EngineCandidate,
  EngineView,
  MemorySeat,
  PromptDemand,
  PromptPart,
} from './_lib/types.ts';

export type {
  EngineCandidate,
  EngineView,
  MemorySeat,
  PromptDemand,
  PromptPart,
} from './_lib/types.ts';

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
  /** Expected time to the first event, once there is a slot. */
  readonly firstEventMs: number;
  /** Expected wait for a slot of `target`; 0 with a free one. */
  readonly slotWaitMs: number;
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

/** The first engine and at most 16 helpers. */
const PART_COUNTS = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/** A part shorter than this is not worth another engine's pass. */
const LEAST_PART_MS = 25;

/** Prompts that one engine reads within this time make up the short lane. */
const SHORT_READ_MS = 160;

/** Tokens that make a prompt worth as much again as its being a request. */
const VALUE_TOKENS = 10_000;

const REQUEST_VALUE = 0.5;

/** Cost of each engine that takes part: a pass that may be awaited. */
const PART_COST = 0.01;

/** Spread of random ties. */
const TIE_COST = 0.02;

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
    patienceMs: Math.max(demand.patienceMs, 1),
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
      slotWaitMs: slotWaitMs(seating, demand, view),
    },
    cost: latenessCost(part, firstEventMs) + harm + seating.cost,
  };
}

function describe(
  target: RosterTarget,
  view: EngineView,
  lane: ReadonlySet<string>,
): EngineCandidate {
  const load = view.loads.get(target.id) ?? NO_LOAD;
  const passMs =
    estimatePassMs(view.cost, load.decodingRequests, load.contextTokens) *
    target.pace;
  return { target, load, passMs, isShortLane: lane.has(target.id) };
}
