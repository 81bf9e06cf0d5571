/** KV memory to reserve on one engine. */
export interface ReservationPart {
  readonly targetId: string;
  readonly tokens: number;
}

/** Free KV memory of an engine, as far as the planner knows. */
export interface EngineFreeMemory {
  readonly targetId: string;
  readonly freeTokens: number;
}

/** Options of {@link planReservation}. */
export interface PlanReservationOptions {
  /** Returns whether the prompt may run on an engine. Default: any engine. */
  readonly mayRun?: (targetId: string) => boolean;
}

/** The engine that runs a prompt, and the memory to reserve for it. */
export interface ReservationPlan {
  readonly targetId: string;
  /** Parts in ascending order of engine ids, in which every planner reserves. */
  readonly parts: readonly ReservationPart[];
}

/**
 * Plans the KV memory of a prompt on one or more engines.
 *
 * The prompt runs on the engine with the least free memory that still fits it.
 * If none does, it runs on the engine with the most free memory, and the rest is
 * reserved on the engines with the next most. The parts together hold the whole
 * prompt, otherwise there is no plan. Parts are sorted by engine id, so that all
 * planners reserve in the same global order.
 *
 * @param needTokens - Memory for the prompt and its maximum output, in tokens.
 * @param engines - Candidate engines.
 * @param options - Which engines may run the prompt; the others only hold parts.
 * @returns The engine and the parts, or `undefined` without enough free memory.
 *
 * @example
 * planReservation(600_000, engines)?.targetId;
 */
export function planReservation(
  needTokens: number,
  engines: readonly EngineFreeMemory[],
  options: PlanReservationOptions = {},
): ReservationPlan | undefined {
  const { mayRun = () => true } = options;
  const byFreeTokens = engines.toSorted(
    (a, b) => b.freeTokens - a.freeTokens || compareIds(a, b),
  );
  const eligible = byFreeTokens.filter(({ targetId }) => mayRun(targetId));
  const bestFit = eligible.findLast(
    (engine) => engine.freeTokens >= needTokens,
  );
  const primary = bestFit ?? eligible[0];
  if (!primary || primary.freeTokens <= 0) return undefined;
  let remainingTokens = needTokens;
  const parts = [
    primary,
    ...byFreeTokens.filter((engine) => engine !== primary),
  ].flatMap(({ targetId, freeTokens }) => {
    const tokens = Math.min(remainingTokens, Math.max(freeTokens, 0));
    remainingTokens -= tokens;
    return tokens > 0 ? [{ targetId, tokens }] : [];
  });
  if (remainingTokens > 0) return undefined;
  return { targetId: primary.targetId, parts: parts.toSorted(compareIds) };
}

function compareIds(
  a: { readonly targetId: string },
  b: { readonly targetId: string },
): number {
  return a.targetId < b.targetId ? -1 : 1;
}
