/**
 * Rotates a list, so that callers who take its first item are spread evenly.
 *
 * @param items - The list, left as it is.
 * @param random - Uniform in [0, 1).
 * @returns The same items from another beginning on.
 *
 * @example
 * rotate(['a', 'b', 'c'], 0.5); // ['b', 'c', 'a']
 */
export function rotate<T>(items: readonly T[], random: number): readonly T[] {
  const first = Math.floor(random * items.length);
  return [...items.slice(first), ...items.slice(0, first)];
}
