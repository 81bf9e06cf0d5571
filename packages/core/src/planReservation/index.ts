/** KV memory wanted on one engine. */
export interface ReservationPart {
  readonly targetId: string;
  readonly tokens: number;
}

/** Room on an engine, as far as the planner knows. */
export interface EngineRoom {
  readonly targetId: string;
  readonly freeTokens: number;
}

/**
 * Plans the memory of a prompt over one or several engines.
 *
 * The prompt runs on the engine with the most room. All parts together hold
 * the prompt, or there is no plan. Parts come in one global order (by id), in
 * which every planner reserves.
 *
 * @param needTokens - Memory for the prompt and its whole output.
 * @param rooms - Candidate engines.
 * @returns Where it runs and the parts, or `undefined` when they lack room.
 *
 * @example
 * planReservation(600_000, rooms)?.targetId;
 */
export function planReservation(
  needTokens: number,
  rooms: readonly EngineRoom[],
):
  | { readonly targetId: string; readonly parts: readonly ReservationPart[] }
  | undefined {
  const byRoom = rooms.toSorted(
    (a, b) => b.freeTokens - a.freeTokens || compareIds(a, b),
  );
  const [first] = byRoom;
  if (!first) return undefined;
  let leftTokens = needTokens;
  const parts = byRoom.flatMap(({ targetId, freeTokens }) => {
    const tokens = Math.min(leftTokens, Math.max(freeTokens, 0));
    leftTokens -= tokens;
    return tokens > 0 ? [{ targetId, tokens }] : [];
  });
  if (leftTokens > 0) return undefined;
  return { targetId: first.targetId, parts: parts.toSorted(compareIds) };
}

function compareIds(
  a: { readonly targetId: string },
  b: { readonly targetId: string },
): number {
  return a.targetId < b.targetId ? -1 : 1;
}
