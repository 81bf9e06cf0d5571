import { xxHash32 } from 'js-xxhash';

/** Number of distinct values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/**
 * Scores a candidate for a key by weighted rendezvous hashing.
 *
 * Each candidate has the highest score for a share of the keys that is
 * proportional to its weight. The score of a candidate does not depend on the
 * other candidates.
 *
 * @param key - Key to be assigned to a candidate.
 * @param candidateId - Id of the candidate.
 * @param weight - Relative share of keys, above 0; 1 by default.
 * @returns The score; the candidate with the highest score gets the key.
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
