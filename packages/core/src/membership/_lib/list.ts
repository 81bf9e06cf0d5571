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
 * Takes entries from the platform's list. The list lags: it adds members and
 * marks them as leaving, but never contradicts what members said themselves.
 */
export function applyList(
  state: MembershipState,
  { entries }: ListedEvent,
): Step<MembershipState, MembershipEffect> {
  const news = entries.flatMap<MemberUpdate>((entry) => {
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
  const kept = forgetDead(state, listed);
  if (news.length === 0) return unchanged(kept);
  // Every member reads the list itself; only what is urgent spreads.
  const newcomers = news.filter(({ leaving }) => !leaving);
  const leavers = news.filter(({ leaving }) => leaving);
  return chainSteps<MembershipState, MembershipEffect>(kept, [
    (s) => applyUpdates(s, newcomers, { spread: false }),
    (s) => applyUpdates(s, leavers),
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

function forgetDead(
  state: MembershipState,
  listed: ReadonlySet<string>,
): MembershipState {
  const isForgotten = (member: Member): boolean =>
    member.status === 'dead' &&
    state.nowMs - member.changedAtMs >= DEAD_RETENTION_MS &&
    !listed.has(member.address.entryId);
  const entries = [...state.members];
  if (!entries.some(([, member]) => isForgotten(member))) return state;
  return {
    ...state,
    members: new Map(entries.filter(([, member]) => !isForgotten(member))),
    changed: true,
  };
}
