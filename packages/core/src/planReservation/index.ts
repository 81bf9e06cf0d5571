/** KV memory wanted on one engine. */
export interface ReservationPart {
  readonly targetId: string;
  readonly tokens: number;
}

/** Room on an engine, as far as the planner knows. */
export interface EngineFreeMemory {
  readonly targetId: string;
  readonly freeTokens: number;
}

/** Options of {@link planReservation}. */
export interface PlanReservationOptions {
  /** Whether the prompt may run on an engine; all may unless given. */
  readonly mayRun?: (targetId: string) => boolean;
}

/** Where a prompt runs, and the memory it needs. */
export interface ReservationPlan {
  readonly targetId: string;
  /** In the global order in which every planner reserves. */
  readonly parts: readonly ReservationPart[];
}

/**
 * Plans the memory of a prompt over one or several engines.
 *
 * The prompt runs on the engine that it fits most tightly, or else on the one
 * with the most room and takes the rest from the next roomiest. All parts
 * together hold the prompt, or there is no plan. Parts come in one global
 * order (by id), in which every planner reserves.
 *
 * @param needTokens - Memory for the prompt and its whole output.
 * @param rooms - Candidate engines.
 * @param options - Engines it may run on; the others only lend memory.
 * @returns Where it runs and the parts, or `undefined` when they lack room.
 *
 * @example
 * planReservation(600_000, rooms)?.targetId;
 */
export function planReservation(
  needTokens: number,
  rooms: readonly EngineFreeMemory[],
  options: PlanReservationOptions = {},
): ReservationPlan | undefined {
  const { mayRun = () => true } = options;
  const byRoom = rooms.toSorted(
    (a, b) => b.freeTokens - a.freeTokens || compareIds(a, b),
  );
  const runners = byRoom.filter(({ targetId }) => mayRun(targetId));
  const tightest = runners.findLast((room) => room.freeTokens >= needTokens);
  const first = tightest ?? runners[0];
  if (!first || first.freeTokens <= 0) return undefined;
  let leftTokens = needTokens;
  const parts = [first, ...byRoom.filter((room) => room !== first)].flatMap(
    ({ targetId, freeTokens }) => {
      const tokens = Math.min(leftTokens, Math.max(freeTokens, 0));
      leftTokens -= tokens;
      return tokens > 0 ? [{ targetId, tokens }] : [];
    },
  );
  if (leftTokens > 0) return undefined;
  return { targetId: first.targetId, parts: parts.toSorted(compareIds) };
}

function compareIds(
  a: { readonly targetId: string },
  b: { readonly targetId: string },
): number {
  return a.targetId < b.targetId ? -1 : 1;
}
