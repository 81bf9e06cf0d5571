import type { EntryAddress } from '@endivegate/contracts';
import type { MembershipState } from '../membership/index.ts';

/**
 * Lists the entries that may be returned to callers.
 *
 * @param state - State of the membership slice.
 * @returns The entries that are alive, not suspected and not leaving. This entry
 *   is included unless it is leaving.
 *
 * @example
 * listLiveEntries(state.membership).map(({ entryId }) => entryId);
 */
export function listLiveEntries(
  state: MembershipState,
): readonly EntryAddress[] {
  const others = [...state.members.values()]
    .filter((member) => member.status === 'alive' && !member.leaving)
    .map((member) => member.address);
  const self = state.self === undefined || state.leaving ? [] : [state.self];
  return [...self, ...others];
}
