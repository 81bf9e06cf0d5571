import type { EntryAddress } from '@endivegate/contracts';
import { scoreRendezvous } from '../scoreRendezvous/index.ts';

/** Options of {@link pickPerDataCentre}. */
export interface PickPerDataCentreOptions {
  /** Entries of each data centre that take the duty; 2 unless given. */
  readonly count?: number;
}

const DEFAULT_COUNT = 2;

/**
 * Picks the entries that take a duty, a few in each data centre.
 *
 * Rendezvous hashing over the live entries: every entry that knows the same
 * members picks the same ones, and a member's coming or going moves the duty
 * of at most one.
 *
 * @param duty - Name of the duty; different duties fall on different entries.
 * @param live - Live entries.
 * @param options - How many to pick.
 * @returns Ids of the picked entries.
 *
 * @example
 * pickPerDataCentre('table-watch', live).includes(selfId);
 */
export function pickPerDataCentre(
  duty: string,
  live: readonly EntryAddress[],
  options: PickPerDataCentreOptions = {},
): readonly string[] {
  const { count = DEFAULT_COUNT } = options;
  const dataCentres = [...new Set(live.map(dataCentreKey))];
  return dataCentres.flatMap((key) =>
    live
      .filter((entry) => dataCentreKey(entry) === key)
      .map(({ entryId }) => ({
        entryId,
        score: scoreRendezvous(duty, entryId),
      }))
      .sort((a, b) => b.score - a.score)
      .slice(0, count)
      .map(({ entryId }) => entryId),
  );
}

/**
 * Names an entry's data centre uniquely over all regions.
 *
 * @param entry - The entry.
 * @returns Region and data centre.
 */
export function dataCentreKey(
  entry: Pick<EntryAddress, 'region' | 'dataCentre'>,
): string {
  return `${entry.region}/${entry.dataCentre}`;
}
