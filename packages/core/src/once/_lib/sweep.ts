import { scoreRendezvous } from '../../scoreRendezvous/index.ts';

/**
 * Picks who holds a key by rendezvous hashing.
 *
 * @param key - What is to be placed.
 * @param candidateIds - Who may hold it.
 * @returns The candidate with the highest score; undefined without any.
 */
export function pickHighest(
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
