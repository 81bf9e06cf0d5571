import { scoreRendezvous } from '../../scoreRendezvous/index.ts';

/**
 * Picks the owner of a key by rendezvous hashing.
 *
 * @param key - The key.
 * @param candidateIds - Ids of the possible owners.
 * @returns The candidate with the highest score, or undefined when there are no
 * candidates.
 */
export function pickByRendezvous(
  key: string,
  candidateIds: readonly string[],
): string | undefined {
  const scored = candidateIds.map((id) => ({
    id,
    score: scoreRendezvous(key, id),
  }));
  return scored.reduce<(typeof scored)[number] | undefined>(
    (best, next) =>
      best === undefined || next.score > best.score ? next : best,
    undefined,
  )?.id;
}
