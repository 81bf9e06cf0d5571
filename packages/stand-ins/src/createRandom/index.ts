import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * Creates a seeded generator of uniform random numbers.
 *
 * @param seed - Seed of the generator; equal seeds give equal sequences.
 * @returns A function that returns the next number in [0, 1).
 *
 * @example
 * const random = createRandom(1);
 * const jitterMs = 10 * random();
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
