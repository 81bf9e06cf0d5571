import { scoreRendezvous } from '../scoreRendezvous/index.ts';

/** An entry that may be a home. */
export interface HomeCandidate {
  readonly entryId: string;
  readonly dataCentre: string;
}

/** Options of {@link pickHomes}. */
export interface PickHomesOptions<Candidate extends HomeCandidate> {
  /** Number of homes wanted; 2 unless given. */
  readonly count?: number;
  /** Relative capacity of an entry; 1 for all unless given. */
  readonly weightOf?: (candidate: Candidate) => number;
}

interface Scored<Candidate> {
  readonly candidate: Candidate;
  readonly score: number;
  /** Rank among the candidates of the same data centre. */
  readonly round: number;
}

/**
 * Picks the home entries of a workspace by weighted rendezvous hashing.
 *
 * Data centres take turns: the best candidate of each comes first, then the
 * second best of each. The set does not depend on who asks. When a candidate
 * joins, the new set holds nobody else who was not in the old one; when one
 * leaves, all others of the old set stay.
 *
 * @param workspace - The workspace.
 * @param candidates - Live entries of the region, in any order.
 * @param options - Number of homes and weights.
 * @returns The homes, the coordinating one first; fewer if there are fewer candidates.
 *
 * @example
 * const [coordinator] = pickHomes('mzansi-planning', entries, { count: 3 });
 */
export function pickHomes<Candidate extends HomeCandidate>(
  workspace: string,
  candidates: readonly Candidate[],
  options: PickHomesOptions<Candidate> = {},
): readonly Candidate[] {
  const { count = MIN_HOMES, weightOf = () => 1 } = options;
  const byScore = candidates
    .map((candidate) => ({
      candidate,
      score: scoreRendezvous(workspace, candidate.entryId, weightOf(candidate)),
    }))
    .toSorted((a, b) => b.score - a.score);
  return withRounds(byScore)
    .toSorted((a, b) => a.round - b.round || b.score - a.score)
    .slice(0, count)
    .map(({ candidate }) => candidate);
}

/** Fewest homes of a workspace, so that one may fail. */
export const MIN_HOMES = 2;

function withRounds<Candidate extends HomeCandidate>(
  byScore: readonly Omit<Scored<Candidate>, 'round'>[],
): readonly Scored<Candidate>[] {
  const seen = new Map<string, number>();
  return byScore.map((scored) => {
    const { dataCentre } = scored.candidate;
    const round = seen.get(dataCentre) ?? 0;
    seen.set(dataCentre, round + 1);
    return { ...scored, round };
  });
}
