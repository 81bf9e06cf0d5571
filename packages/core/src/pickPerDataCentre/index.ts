import type { EntryAddress } from '@endivegate/contracts';
import { scoreRendezvous } from '../scoreRendezvous/index.ts';

/** Options of {@link pickPerDataCentre}. */
export interface PickPerDataCentreOptions {
  /** Number of entries picked in each data centre; 2 by default. */
  readonly count?: number;
}

const DEFAULT_COUNT = 2;

/**
 * Picks a few entries in each data centre for a role.
 *
 * Rendezvous hashing over the live entries is used: every entry that knows the
 * same members picks the same entries, and a member that joins or leaves changes
 * at most one of the picked entries.
 *
 * @param role - Name of the role, the hash key; roles are spread over the entries.
 * @param live - Live entries.
 * @param options - Number of entries per data centre.
 * @returns Ids of the picked entries.
 *
 * @example
 * pickPerDataCentre('table-watch', live).includes(selfId);
 */
export function pickPerDataCentre(
  role: string,
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
        score: scoreRendezvous(role, entryId),
      }))
      .sort((a, b) => b.score - a.score)
      .slice(0, count)
      .map(({ entryId }) => entryId),
  );
}

/**
 * Returns a key that identifies an entry's data centre across all regions.
 *
 * @param entry - The entry.
 * @returns Region and data centre, joined by a slash.
 */
export function dataCentreKey(
  entry: Pick<EntryAddress, 'region' | 'dataCentre'>,
): string {
  return `${entry.region}/${entry.dataCentre}`;
}
