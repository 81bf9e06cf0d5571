import { NO_LOAD } from '../engineLoad/index.ts';
import { estimatePassMs, estimatePrefillMs } from '../engineTimes/index.ts';
import type { RosterTarget } from '../targetRoster/index.ts';
import {
  avoidanceCost,
  laneCost,
  latenessCost,
  estimateLateShare,
  estimatePartEndMs,
  prefillDelayCost,
  decodingDelayCost,
} from './_lib/costs.ts';
import { selectShortLane } from './_lib/lanes.ts';
import {
  freeTokens,
  placeMemory,
  estimateSlotWaitMs,
  estimateFirstPassMs,
} from './_lib/memoryPlacement.ts';
import type {
  EngineCandidate,
  EngineView,
  PlannedReservation,
  PromptDemand,
  PromptPart,
} from './_lib/types.ts';

export type {
  EngineCandidate,
  EngineView,
  PlannedReservation,
  PromptDemand,
  PromptPart,
} from './_lib/types.ts';

/** Engines chosen for a prompt, with the predictions for it. */
export interface PromptPlan {
  /** Engine that decodes the answer. */
  readonly target: RosterTarget;
  /** Memory to reserve at helpers when no engine has room for the whole prompt. */
  readonly reservations: readonly PlannedReservation[];
  /** Whether the engines have room for the prompt now. */
  readonly fits: boolean;
  /** Tokens that the prompt and its answer occupy at `target`. */
  readonly memoryTokens: number;
  /** Engines other than `target` that prefill one part each. */
  readonly helpers: readonly RosterTarget[];
  /** Expected prefill time of each part. */
  readonly partPrefillMs: number;
  readonly isShort: boolean;
  /** Expected time to the first event once a slot is free. */
  readonly firstEventMs: number;
  /** Expected wait for a slot of `target`; 0 when one is free. */
  readonly slotWaitMs: number;
  /** Probability that the first event misses the latency target. */
  readonly lateShare: number;
  /** Expected loss of other prompts that it delays, in on-time requests. */
  readonly delayCost: number;
}

/** Options of {@link planPrompt}. */
export interface PlanPromptOptions {
  /** Numbers of parts that a prompt may be split into. */
  readonly partCounts?: readonly number[];
  /** Returns a number uniform in [0, 1), so that entries that plan at the same
   * time choose different engines. */
  readonly random?: () => number;
  /** Computes the cost of a part at a target. Default: {@link partCost}. */
  readonly costOf?: typeof partCost;
}

/** Numbers of parts to try; the largest is one engine and 16 helpers. */
const PART_COUNTS = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/** Minimum prefill time of a part; a shorter part is not worth a pass of another
 * engine. */
const MIN_PART_MS = 25;

/** Prompts that one engine prefills within this time belong in the short lane. */
const MAX_SHORT_PREFILL_MS = 160;

/** Prompt tokens that add 1 to the value of a prompt. */
const TOKENS_PER_VALUE = 10_000;

/** Value of a prompt regardless of its length. */
const BASE_VALUE = 0.5;

/** Cost of each participating engine, whose current pass may have to end first. */
const COST_PER_ENGINE = 0.01;

/** Largest random cost added to break ties. */
const TIE_BREAK_COST = 0.02;

/**
 * Estimates the value of serving a prompt on time. A prompt of 5,000 tokens has
 * the value 1.
 *
 * @param promptTokens - Length of the prompt in tokens.
 * @returns The value.
 *
 * @example
 * valueOfPrompt(5_000); // 1
 */
export function valueOfPrompt(promptTokens: number): number {
  return BASE_VALUE + promptTokens / TOKENS_PER_VALUE;
}

/**
 * Plans which engines prefill a prompt, and which of them decodes its answer.
 *
 * Every allowed number of parts is evaluated with the cheapest engines for it.
 * Costs are expected losses of on-time requests: of the prompt itself, from the
 * predicted time to its first event; of streams whose gap a part would lengthen
 * beyond their target; and of prompts that wait at the same engines. All entries
 * rank the targets in the same order. Short prompts prefer the start of it and
 * long prompts the rest, so the lanes follow the mix of prompts without any
 * coordination between entries.
 *
 * @param demand - Requirements of the prompt.
 * @param view - Engines and their load.
 * @param options - Numbers of parts, random source and cost function.
 * @returns The plan, or undefined when there is no engine.
 *
 * @example
 * planPrompt(demand, { cost, targets, loads, nowMs })?.target.id;
 */
export function planPrompt(
  demand: PromptDemand,
  view: EngineView,
  options: PlanPromptOptions = {},
): PromptPlan | undefined {
  const { partCounts = PART_COUNTS } = options;
  const prefillMs = estimatePrefillMs(view.cost, demand.promptTokens);
  const lane = selectShortLane(view);
  const candidates = view.targets.map((target) =>
    toCandidate(target, view, lane),
  );
  const counts = partCounts
    .filter((parts) => parts === 1 || prefillMs / parts >= MIN_PART_MS)
    .filter((parts) => parts <= candidates.length);
  const cheapestOf = (
    choose: (parts: number) => readonly EngineCandidate[],
  ): PromptPlan | undefined =>
    counts
      .map((parts) => {
        const query = { demand, view, prefillMs, parts };
        return planSplit({ ...query, candidates: choose(parts) }, options);
      })
      .toSorted((a, b) => a.cost - b.cost)[0]?.plan;
  const plan = cheapestOf(() => candidates);
  if (view.memoryUtilisation === undefined || plan?.fits !== false) return plan;
  const byFreeTokens = candidates.toSorted(
    (a, b) => freeTokens(b, view) - freeTokens(a, view),
  );
  return cheapestOf((parts) => byFreeTokens.slice(0, parts));
}

/**
 * Estimates the cost of placing one part at a target, from the time at which this
 * part is prefilled. The end of the whole prompt, which depends on its slowest
 * part, is not included.
 *
 * @param part - The part.
 * @param candidate - The target with its load and pass duration.
 * @returns Expected loss, in on-time requests.
 *
 * @example
 * partCost(part, candidate) < partCost(part, otherCandidate);
 */
export function partCost(part: PromptPart, candidate: EngineCandidate): number {
  return (
    latenessCost(part, estimatePartEndMs(part, candidate)) +
    decodingDelayCost(part.prefillMs, candidate) +
    (part.isSplit ? prefillDelayCost(part.prefillMs, [candidate]) : 0) +
    laneCost(part, candidate)
  );
}

interface SplitQuery {
  readonly demand: PromptDemand;
  readonly view: EngineView;
  readonly candidates: readonly EngineCandidate[];
  readonly prefillMs: number;
  readonly parts: number;
}

function planSplit(
  query: SplitQuery,
  options: PlanPromptOptions,
): { readonly plan: PromptPlan; readonly cost: number } {
  const { demand, view, candidates, prefillMs, parts } = query;
  const { random = Math.random, costOf = partCost } = options;
  const part: PromptPart = {
    prefillMs: prefillMs / parts,
    isShort: prefillMs <= MAX_SHORT_PREFILL_MS,
    isSplit: parts > 1,
    latencyBudgetMs: demand.latencyBudgetMs,
    patienceMs: Math.max(demand.patienceMs, 1),
    value: valueOfPrompt(demand.promptTokens),
  };
  const chosen = candidates
    .map((candidate) => ({
      candidate,
      cost:
        costOf(part, candidate) +
        avoidanceCost(candidate, view.nowMs) +
        (parts === 1 ? placeMemory(demand, [candidate], view).cost : 0) +
        TIE_BREAK_COST * random(),
    }))
    .toSorted((a, b) => a.cost - b.cost)
    .slice(0, parts);
  const engines = chosen.map((one) => one.candidate);
  const placement = placeMemory(demand, engines, view);
  const endMs = Math.max(
    ...engines.map((candidate) => estimatePartEndMs(part, candidate)),
  );
  const firstEventMs = endMs + estimateFirstPassMs(placement, view);
  const delayCost =
    (part.isSplit ? prefillDelayCost(part.prefillMs, engines) : 0) +
    sumBy(
      engines,
      (candidate) =>
        decodingDelayCost(part.prefillMs, candidate) +
        laneCost(part, candidate),
    );
  const engineCost = sumBy(
    engines,
    (candidate) => avoidanceCost(candidate, view.nowMs) + COST_PER_ENGINE,
  );
  return {
    plan: {
      target: placement.primary.target,
      reservations: placement.reservations,
      fits: placement.fits,
      memoryTokens: placement.tokensAtPrimary,
      helpers: engines
        .filter((candidate) => candidate !== placement.primary)
        .map((candidate) => candidate.target),
      partPrefillMs: part.prefillMs,
      isShort: part.isShort,
      firstEventMs,
      slotWaitMs: estimateSlotWaitMs(placement, demand, view),
      lateShare: estimateLateShare(part, firstEventMs),
      delayCost,
    },
    cost:
      latenessCost(part, firstEventMs) +
      delayCost +
      engineCost +
      placement.cost,
  };
}

function sumBy<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}

function toCandidate(
  target: RosterTarget,
  view: EngineView,
  lane: ReadonlySet<string>,
): EngineCandidate {
  const load = view.loads.get(target.id) ?? NO_LOAD;
  const passMs =
    estimatePassMs(view.cost, load.decodingRequests, load.contextTokens) *
    target.slowdown;
  return { target, load, passMs, isShortLane: lane.has(target.id) };
}
