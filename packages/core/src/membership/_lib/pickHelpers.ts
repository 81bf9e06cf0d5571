import type { Member, MembershipState } from '../types.ts';
import { INDIRECT_PROBES } from './constants.ts';
import { drawSome } from './random.ts';

/** Members drawn, from which helpers in distinct data centres are kept. */
const CANDIDATES = 4 * INDIRECT_PROBES;

/**
 * Picks members to probe another one, from distinct data centres where
 * possible and never from this entry's own when there are others.
 *
 * @param state - State of the slice.
 * @param subjectId - The member to be probed.
 * @param draw - Source of integers.
 * @returns At most three helpers.
 */
export function pickHelpers(
  state: MembershipState,
  subjectId: string,
  draw: (bound: number) => number,
): readonly Member[] {
  const candidates = drawSome(state.order, CANDIDATES, draw).flatMap((id) => {
    const member = state.members.get(id);
    return member?.status === 'alive' && id !== subjectId ? [member] : [];
  });
  const own = state.self?.dataCentre;
  const firstOfCentre = candidates.filter(
    ({ address: { dataCentre } }, index) =>
      dataCentre !== own &&
      candidates.findIndex((m) => m.address.dataCentre === dataCentre) ===
        index,
  );
  const others = candidates.filter((member) => !firstOfCentre.includes(member));
  return [...firstOfCentre, ...others].slice(0, INDIRECT_PROBES);
}
