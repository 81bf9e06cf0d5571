/** An entry that callers may be sent to. */
export interface SampledEntry {
  /** Capacity relative to other entries. */
  readonly weight: number;
}

/** Options of {@link sampleEntries}. */
export interface SampleEntriesOptions {
  /** Largest number of entries in an answer. */
  readonly maxEntries?: number;
  /** Returns a number uniform in [0, 1). */
  readonly random?: () => number;
}

const MAX_ENTRIES = 64;

/** Callers choose among the addresses evenly, so unequal entries can be weighted
 * only by leaving some out. This part of them is named. */
const UNEQUAL_SHARE = 0.4;

/** Named at least, so that callers have others left when some fail. */
const MIN_UNEQUAL_ENTRIES = 8;

/**
 * Chooses the entries to name to a caller, in random order, each with a
 * probability that grows with its capacity. Different callers are told different
 * entries, so that together they load all of them in proportion.
 *
 * @param entries - Entries that take callers.
 * @param options - Size of the answer and random source.
 * @returns All entries when they are few and equal, otherwise a sample.
 *
 * @example
 * sampleEntries(servingPeers(state, nowMs)).map((entry) => entry.callerAddress);
 */
export function sampleEntries<T extends SampledEntry>(
  entries: readonly T[],
  options: SampleEntriesOptions = {},
): readonly T[] {
  const { maxEntries = MAX_ENTRIES, random = Math.random } = options;
  const isUnequal = entries.some(
    (entry) => entry.weight !== entries[0]?.weight,
  );
  const unequalSize = Math.max(
    Math.ceil(entries.length * UNEQUAL_SHARE),
    MIN_UNEQUAL_ENTRIES,
  );
  const size = Math.min(isUnequal ? unequalSize : entries.length, maxEntries);
  // The largest of u^(1/weight) are a weighted sample without replacement.
  return entries
    .map((entry) => ({ entry, key: random() ** (1 / entry.weight) }))
    .toSorted((a, b) => b.key - a.key)
    .slice(0, size)
    .map(({ entry }) => entry);
}
