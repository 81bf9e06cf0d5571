import { estimatePassMs } from '../../engineTimes/index.ts';
import { decodingCost } from './costs.ts';
import type {
  EngineCandidate,
  EngineView,
  PlannedReservation,
  PromptDemand,
} from './types.ts';

/** Cost of a reservation, which takes an order and a round trip. */
const RESERVATION_COST = 0.05;

/** Cost of a prompt that does not fit into the memory of the chosen engines. */
const NO_MEMORY_COST = 100;

/** Fraction of an engine's memory available to the planner; the rest covers
 * prompts that other entries place at the same time. */
const MEMORY_UTILISATION = 0.92;

/** Engines that hold the KV memory of a prompt. */
export interface MemoryPlacement {
  /** Engine that decodes the answer. */
  readonly primary: EngineCandidate;
  readonly reservations: readonly PlannedReservation[];
  readonly tokensAtPrimary: number;
  /** Whether the chosen engines have room for the prompt. */
  readonly fits: boolean;
  /** Expected loss, in requests. */
  readonly cost: number;
}

/**
 * Chooses the engine that decodes the answer and the engines that hold the
 * prompt's memory: that engine alone if it has room, otherwise as few engines as
 * possible in equal parts.
 */
export function placeMemory(
  demand: PromptDemand,
  chosen: readonly EngineCandidate[],
  view: EngineView,
): MemoryPlacement {
  const tokens = demand.promptTokens + demand.outputTokens;
  const fitting = chosen
    .filter((candidate) => freeTokens(candidate, view) >= tokens)
    .map((candidate) => ({ candidate, cost: decodingCost(candidate) }))
    .toSorted((a, b) => a.cost - b.cost)[0];
  if (fitting !== undefined) {
    return {
      primary: fitting.candidate,
      reservations: [],
      tokensAtPrimary: tokens,
      fits: true,
      cost: fitting.cost,
    };
  }
  const byFreeTokens = chosen.toSorted(
    (a, b) => freeTokens(b, view) - freeTokens(a, view),
  );
  const [primary] = byFreeTokens;
  if (primary === undefined) throw new Error('no candidates to plan with');
  const helperCount = byFreeTokens.findIndex(
    (candidate, index) =>
      index > 0 && freeTokens(candidate, view) >= tokens / (index + 1),
  );
  if (helperCount < 0) {
    const cost = NO_MEMORY_COST + decodingCost(primary);
    return {
      primary,
      reservations: [],
      tokensAtPrimary: tokens,
      fits: false,
      cost,
    };
  }
  const tokensPerHelper = Math.ceil(demand.promptTokens / (helperCount + 1));
  return {
    primary,
    reservations: byFreeTokens
      .slice(1, helperCount + 1)
      .map(({ target }) => ({ target, tokens: tokensPerHelper })),
    tokensAtPrimary: tokens - tokensPerHelper * helperCount,
    fits: true,
    cost: decodingCost(primary) + helperCount * RESERVATION_COST,
  };
}

/** Free memory of an engine, less the margin for other entries. */
export function freeTokens(
  candidate: Pick<EngineCandidate, 'load'>,
  view: EngineView,
): number {
  const { memoryUtilisation = MEMORY_UTILISATION } = view;
  return (
    view.cost.memoryTokens * memoryUtilisation - candidate.load.memoryTokens
  );
}

/** Expected wait for a slot of the primary engine; 0 when one is free. */
export function estimateSlotWaitMs(
  placement: MemoryPlacement,
  demand: PromptDemand,
  view: EngineView,
): number {
  const { load, target, passMs } = placement.primary;
  const excess = Math.max(load.requests + 1 - target.slots, 0);
  const passes = Math.max(demand.outputTokens / view.cost.stepsPerPass, 1);
  return (excess * passes * passMs) / Math.max(target.slots, 1);
}

/** Time from the end of prefill to the first event: one pass that includes this
 * request. */
export function estimateFirstPassMs(
  placement: MemoryPlacement,
  view: EngineView,
): number {
  const { load, target } = placement.primary;
  return (
    target.slowdown *
    estimatePassMs(
      view.cost,
      load.decodingRequests + 1,
      load.contextTokens + placement.tokensAtPrimary,
    )
  );
}
