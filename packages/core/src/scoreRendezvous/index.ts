import { xxHash32 } from 'js-xxhash';

/** Number of values of a 32 bit hash. */
const HASH_RANGE = 2 ** 32;

/**
 * Scores a candidate for a key by weighted rendezvous hashing.
 *
 * Of several candidates, each has the highest score for a share of all keys in
 * proportion to its weight, whoever else takes part.
 *
 * @param key - What is to be placed.
 * @param candidateId - Who may hold it.
 * @param weight - Relative share of keys, above 0; 1 unless given.
 * @returns The score; the highest wins.
 *
 * @example
 * scoreRendezvous('workspace-1', 'entry-1', 2);
 */
export function scoreRendezvous(
  key: string,
  candidateId: string,
  weight = 1,
): number {
  const hash = xxHash32(`${candidateId}\n${key}`);
  const uniform = (hash + 0.5) / HASH_RANGE;
  return -weight / Math.log(uniform);
}
