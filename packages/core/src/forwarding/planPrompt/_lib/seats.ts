import { estimatePassMs } from '../../engineTimes/index.ts';
import { writerCost } from './costs.ts';
import type {
  EngineCandidate,
  EngineView,
  MemorySeat,
  PromptDemand,
} from './types.ts';

/** Cost of a reservation, which is an order and a round trip. */
const SEAT_COST = 0.05;

/** Cost of a prompt that has no room in the engine's memory. */
const NO_MEMORY_COST = 100;

/** Part of an engine's memory that is planned with, since others plan too. */
const MEMORY_USE = 0.92;

/** Where the memory of a prompt lies. */
export interface Seating {
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
export function seatPrompt(
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

/** Room at an engine, less what others may be planning with. */
function freeTokens(candidate: EngineCandidate, view: EngineView): number {
  return view.cost.memoryTokens * MEMORY_USE - candidate.load.memoryTokens;
}

/** Expected wait for a slot of the engine that writes; 0 with a free one. */
export function slotWaitMs(
  seating: Seating,
  demand: PromptDemand,
  view: EngineView,
): number {
  const { load, target, passMs } = seating.first;
  const excess = Math.max(load.requests + 1 - target.slots, 0);
  const passes = Math.max(demand.outputTokens / view.cost.stepsPerPass, 1);
  return (excess * passes * passMs) / Math.max(target.slots, 1);
}

/** Time from the end of reading to the first event: a pass with this writer. */
export function writeMs(seating: Seating, view: EngineView): number {
  const { load, target } = seating.first;
  return (
    target.pace *
    estimatePassMs(
      view.cost,
      load.decodingRequests + 1,
      load.contextTokens + seating.tokensAtFirst,
    )
  );
}
