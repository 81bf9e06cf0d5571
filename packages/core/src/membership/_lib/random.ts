import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const SEED_RANGE = 2 ** 31;

/**
 * Returns a function that draws integers below a bound, seeded by an event.
 *
 * @param random - The event's own random number.
 * @returns A function from a bound to an integer in `[0, bound)`.
 */
export function createDraw(random: number): (bound: number) => number {
  const generator = xoroshiro128plus(Math.floor(random * SEED_RANGE));
  return (bound) => uniformInt(generator, 0, bound - 1);
}

/**
 * Draws distinct items.
 *
 * @param items - Items to draw from.
 * @param count - Largest number of items.
 * @param draw - Source of integers.
 * @returns At most `count` items, in random order.
 */
export function drawSome<T>(
  items: readonly T[],
  count: number,
  draw: (bound: number) => number,
): readonly T[] {
  if (items.length <= count) return items;
  const indexes = new Set<number>();
  while (indexes.size < count) indexes.add(draw(items.length));
  return [...indexes].flatMap((index) => items.slice(index, index + 1));
}
