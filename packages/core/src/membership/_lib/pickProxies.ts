import type { Member, MembershipState } from '../types.ts';
import { INDIRECT_PROBES_PER_ROUND } from './constants.ts';
import { sample } from './random.ts';

/** Members sampled, from which proxies in distinct data centres are chosen. */
const CANDIDATE_COUNT = 4 * INDIRECT_PROBES_PER_ROUND;

/**
 * Picks alive members to probe another member indirectly. One member of each
 * other data centre comes first; the remaining candidates fill up the list.
 *
 * @param state - State of the slice.
 * @param subjectId - Id of the member to probe.
 * @param randomInt - Random integer generator.
 * @returns At most {@link INDIRECT_PROBES_PER_ROUND} members.
 */
export function pickProxies(
  state: MembershipState,
  subjectId: string,
  randomInt: (bound: number) => number,
): readonly Member[] {
  const candidates = sample(
    state.probeOrder,
    CANDIDATE_COUNT,
    randomInt,
  ).flatMap((id) => {
    const member = state.members.get(id);
    return member?.status === 'alive' && id !== subjectId ? [member] : [];
  });
  const ownDataCentre = state.self?.dataCentre;
  const onePerDataCentre = candidates.filter(
    ({ address: { dataCentre } }, index) =>
      dataCentre !== ownDataCentre &&
      candidates.findIndex((m) => m.address.dataCentre === dataCentre) ===
        index,
  );
  const others = candidates.filter(
    (member) => !onePerDataCentre.includes(member),
  );
  return [...onePerDataCentre, ...others].slice(0, INDIRECT_PROBES_PER_ROUND);
}
