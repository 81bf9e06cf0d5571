import { compareExactIntegers } from '@endivegate/contracts/forwarding';
import type {
  Evacuation,
  EvacuationList,
  EvacuationsState,
  FactPosition,
} from '../types.ts';

/** Orders positions: negative if `a` is older than `b`. */
export function comparePositions(a: FactPosition, b: FactPosition): number {
  return (
    compareExactIntegers(a.era, b.era) ||
    compareExactIntegers(a.revision, b.revision)
  );
}

/** Adds facts; of two on one data centre, the newer one is kept. */
export function withFacts(
  state: EvacuationsState,
  added: readonly Evacuation[],
): EvacuationsState {
  const facts = added.reduce((known, fact) => {
    const before = known.get(fact.dataCentre);
    return before === undefined || isNewer(fact, before)
      ? new Map(known).set(fact.dataCentre, fact)
      : known;
  }, state.facts);
  return facts === state.facts ? state : resolve({ ...state, facts });
}

/** Replaces the list by a newer one. */
export function withList(
  state: EvacuationsState,
  list: EvacuationList,
): EvacuationsState {
  return state.list !== undefined && comparePositions(list, state.list) <= 0
    ? state
    : resolve({ ...state, list });
}

/** At one position, a request for evacuation is the safe choice. */
function isNewer(fact: Evacuation, known: Evacuation): boolean {
  const order = comparePositions(fact, known);
  return order > 0 || (order === 0 && fact.isEvacuated && !known.isEvacuated);
}

function resolve(state: EvacuationsState): EvacuationsState {
  const current = [...state.facts].map(
    ([dataCentre, fact]) =>
      [dataCentre, resolveFact(fact, state.list)] as const,
  );
  return { ...state, current: new Map(current) };
}

/** A list says what is in force at its position, so it replaces older facts. */
function resolveFact(
  fact: Evacuation,
  list: EvacuationList | undefined,
): Evacuation {
  if (list === undefined || comparePositions(fact, list) > 0) return fact;
  const { era } = list;
  const revision = list.revisions.get(fact.dataCentre);
  return revision === undefined
    ? { ...fact, era, revision: list.revision, isEvacuated: false }
    : { ...fact, era, revision, isEvacuated: true };
}
