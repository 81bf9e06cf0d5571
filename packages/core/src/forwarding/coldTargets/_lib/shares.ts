import { scoreRendezvous } from '../../../scoreRendezvous/index.ts';
import type { Member, OwnMember, WarmUpBound, WarmUpRule } from '../types.ts';

/** Window of sends that may arrive within one second: requests travel up to some
 * tens of ms, and a busy entry writes them later than it counts them. */
const WINDOW_MS = 1100;

/** Part of the bound that is divided among the known entries. The rest is for
 * entries that are not known everywhere yet. */
const DIVIDED_PART = 0.8;

/** Rate of all entries together, relative to the rate of the service. Entries that
 * stopped keep their share for a while, so that the others get less than 1. */
const MAX_RATE_RATIO = 1.3;

const MS_PER_S = 1000;

/** What decides this entry's share of a target. */
export interface ShareQuery {
  readonly target: { readonly id: string; readonly dataCentre: string };
  readonly rule: WarmUpRule;
  readonly bound: WarmUpBound;
  readonly own: OwnMember;
  readonly members: ReadonlyMap<string, Member>;
}

/**
 * Computes the shortest time between two requests of this entry to a cold target.
 *
 * The requests of a window are dealt out one by one to the entries in the order of
 * their rank at the target, in rounds until none is left. An entry that knows more
 * entries than there are gets no more in this way than one that knows them exactly,
 * so that the shares of entries with different views never exceed the window
 * together as long as each knows all that run.
 *
 * @param query - The target, the bound and the entries.
 * @returns Time in ms; Infinity if this entry sends nothing to the target.
 */
export function spacingMsOf(query: ShareQuery): number {
  const { rule, bound } = query;
  const others = [...query.members.values()];
  const aware = others.filter((member) => member.isAware);
  const entries = aware.length + 1;
  const awarePart = entries / (others.length + 1);
  const perWindow = Math.floor(
    DIVIDED_PART *
      awarePart *
      (bound.overrun * rule.requestsPerS + bound.slack),
  );
  const calls =
    Math.floor((perWindow - 1 - rankOf(query, aware)) / entries) + 1;
  if (calls <= 0) return Infinity;
  const windowMs = Math.max(
    WINDOW_MS,
    (MS_PER_S * perWindow) / (MAX_RATE_RATIO * rule.requestsPerS),
  );
  return windowMs / calls;
}

/**
 * Counts the entries before this one: entries of the target's data centre come
 * first, as others may not use its targets. An entry of which only the address is
 * known may be of any data centre.
 */
function rankOf({ target, own }: ShareQuery, aware: readonly Member[]): number {
  const isLocal = own.dataCentre === target.dataCentre;
  const ownScore = scoreRendezvous(target.id, own.address);
  return aware.filter(({ address, dataCentre }) => {
    const isAhead = scoreRendezvous(target.id, address) > ownScore;
    if (dataCentre === undefined) return isAhead || !isLocal;
    const isOtherLocal = dataCentre === target.dataCentre;
    return isOtherLocal === isLocal ? isAhead : isOtherLocal;
  }).length;
}
