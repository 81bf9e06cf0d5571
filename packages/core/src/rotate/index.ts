/**
 * Rotates a list by a random offset, so that callers that take the first item
 * spread evenly over the list.
 *
 * @param items - The list; not modified.
 * @param random - Random number, uniform in [0, 1).
 * @returns A rotated copy of the list.
 *
 * @example
 * rotate(['a', 'b', 'c'], 0.5); // ['b', 'c', 'a']
 */
export function rotate<T>(items: readonly T[], random: number): readonly T[] {
  const offset = Math.floor(random * items.length);
  return [...items.slice(offset), ...items.slice(0, offset)];
}
