import { scoreRendezvous } from '../scoreRendezvous/index.ts';

/** An entry that can be picked as a home. */
export interface HomeCandidate {
  readonly entryId: string;
  readonly dataCentre: string;
}

/** Options of {@link pickHomes}. */
export interface PickHomesOptions<Candidate extends HomeCandidate> {
  /** Number of homes to pick; {@link MIN_HOMES} by default. */
  readonly count?: number;
  /** Returns the relative capacity of an entry; 1 for all by default. */
  readonly weightOf?: (candidate: Candidate) => number;
}

interface Scored<Candidate> {
  readonly candidate: Candidate;
  readonly score: number;
  /** Zero-based rank by score within the data centre. */
  readonly rank: number;
}

/**
 * Picks the home entries of a workspace by weighted rendezvous hashing.
 *
 * The homes alternate between data centres: the best candidate of each data
 * centre comes first, then the second best of each. Every entry that knows the
 * same candidates picks the same homes. When a candidate joins, it is the only
 * possible addition to the homes; when one leaves, all other homes remain.
 *
 * @param workspace - Workspace id.
 * @param candidates - Live entries of the region, in any order.
 * @param options - Number of homes and weights.
 * @returns The homes, the coordinator first; all candidates if there are fewer
 *   than `count`.
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
  return addRanks(byScore)
    .toSorted((a, b) => a.rank - b.rank || b.score - a.score)
    .slice(0, count)
    .map(({ candidate }) => candidate);
}

/** Minimum number of homes per workspace, so that one home may fail. */
export const MIN_HOMES = 2;

function addRanks<Candidate extends HomeCandidate>(
  byScore: readonly Omit<Scored<Candidate>, 'rank'>[],
): readonly Scored<Candidate>[] {
  const ranked = new Map<string, number>();
  return byScore.map((scored) => {
    const { dataCentre } = scored.candidate;
    const rank = ranked.get(dataCentre) ?? 0;
    ranked.set(dataCentre, rank + 1);
    return { ...scored, rank };
  });
}
