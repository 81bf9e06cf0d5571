import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const SEED_RANGE = 2 ** 31;

/**
 * Creates a random integer generator seeded by an event.
 *
 * @param random - The random number of the event, in `[0, 1)`.
 * @returns A function that returns an integer in `[0, bound)`.
 */
export function createRandomInt(random: number): (bound: number) => number {
  const generator = xoroshiro128plus(Math.floor(random * SEED_RANGE));
  return (bound) => uniformInt(generator, 0, bound - 1);
}

/**
 * Samples distinct items.
 *
 * @param items - Items to sample from.
 * @param count - Maximum number of items.
 * @param randomInt - Random integer generator.
 * @returns `count` items in random order, or all items in their own order when
 *   there are no more than `count`.
 */
export function sample<T>(
  items: readonly T[],
  count: number,
  randomInt: (bound: number) => number,
): readonly T[] {
  if (items.length <= count) return items;
  const indexes = new Set<number>();
  while (indexes.size < count) indexes.add(randomInt(items.length));
  return [...indexes].flatMap((index) => items.slice(index, index + 1));
}
