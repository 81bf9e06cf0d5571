import { chainSteps } from '../../chainSteps/index.ts';
import { unchanged, type Step } from '../../step/index.ts';
import type {
  Member,
  MembershipEffect,
  MembershipEvent,
  MembershipState,
  MemberUpdate,
} from '../types.ts';
import { applyUpdates } from './applyUpdates.ts';
import { DEAD_RETENTION_MS } from './constants.ts';

type ListedEvent = Extract<MembershipEvent, { type: 'membership.listed' }>;

/**
 * Merges the platform's instance list. The list lags behind, so it only adds
 * members and marks them as leaving; it never overrides what members reported
 * themselves.
 */
export function applyList(
  state: MembershipState,
  { entries }: ListedEvent,
): Step<MembershipState, MembershipEffect> {
  const newUpdates = entries.flatMap<MemberUpdate>((entry) => {
    const known = state.members.get(entry.entryId);
    const isSelf = entry.entryId === state.self?.entryId;
    if (isSelf || (known && isKnown(known, entry))) return [];
    const { leaving, ...address } = entry;
    return [
      {
        entryId: entry.entryId,
        incarnation: entry.incarnation,
        revision: 0,
        status: 'alive',
        leaving,
        address,
      },
    ];
  });
  const listed = new Set(entries.map(({ entryId }) => entryId));
  const pruned = pruneDead(state, listed);
  if (newUpdates.length === 0) return unchanged(pruned);
  // Every member reads the list itself, so only departures are gossiped.
  const joining = newUpdates.filter(({ leaving }) => !leaving);
  const departing = newUpdates.filter(({ leaving }) => leaving);
  return chainSteps<MembershipState, MembershipEffect>(pruned, [
    (s) => applyUpdates(s, joining, { gossip: false }),
    (s) => applyUpdates(s, departing),
  ]);
}

function isKnown(
  known: Member,
  entry: ListedEvent['entries'][number],
): boolean {
  return (
    known.address.incarnation >= entry.incarnation &&
    (known.leaving || !entry.leaving)
  );
}

function pruneDead(
  state: MembershipState,
  listed: ReadonlySet<string>,
): MembershipState {
  const isExpired = (member: Member): boolean =>
    member.status === 'dead' &&
    state.nowMs - member.changedAtMs >= DEAD_RETENTION_MS &&
    !listed.has(member.address.entryId);
  const entries = [...state.members];
  if (!entries.some(([, member]) => isExpired(member))) return state;
  return {
    ...state,
    members: new Map(entries.filter(([, member]) => !isExpired(member))),
    changed: true,
  };
}
