import type { EntryAddress } from '@endivegate/contracts';

/** Input of {@link pickTableSources}. */
export interface TableSourceQuery {
  readonly selfId: string;
  readonly live: readonly EntryAddress[];
  /** Version number of the table by entry, as last reported. */
  readonly numbersByEntry: ReadonlyMap<string, number>;
  /** Wanted version number; entries with this or a newer one can serve it. */
  readonly number: number;
  /** Random number, uniform in [0, 1). */
  readonly random: number;
}

/** Options of {@link pickTableSources}. */
export interface PickTableSourcesOptions {
  /** Maximum number of peers to return; 3 unless given. */
  readonly maxSources?: number;
}

const DEFAULTS: Required<PickTableSourcesOptions> = { maxSources: 3 };

/**
 * Picks the peers from which to fetch a version of the table.
 *
 * Peers that are known to have the version come before all others, and within
 * both groups peers in the same data centre come first. The order is otherwise
 * rotated by a random offset, so that the load spreads over all peers that
 * have the version.
 *
 * @param query - The wanted version and the state of the peers.
 * @param options - Maximum number of peers.
 * @returns Entry ids in the order in which to try them.
 *
 * @example
 * pickTableSources({ selfId, live, numbersByEntry, number: 7, random: 0.3 });
 */
export function pickTableSources(
  query: TableSourceQuery,
  options: PickTableSourcesOptions = {},
): readonly string[] {
  const { maxSources } = { ...DEFAULTS, ...options };
  const self = query.live.find(({ entryId }) => entryId === query.selfId);
  const peers = query.live.filter(({ entryId }) => entryId !== query.selfId);
  const offset = Math.floor(query.random * peers.length);
  const rotated = [...peers.slice(offset), ...peers.slice(0, offset)];
  const rank = (peer: EntryAddress): number =>
    (hasTableNumber(query, peer.entryId) ? 0 : 2) +
    (peer.dataCentre === self?.dataCentre ? 0 : 1);
  return rotated
    .map((peer) => ({ entryId: peer.entryId, rank: rank(peer) }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, maxSources)
    .map(({ entryId }) => entryId);
}

function hasTableNumber(query: TableSourceQuery, entryId: string): boolean {
  const number = query.numbersByEntry.get(entryId) ?? 0;
  return number > 0 && number >= query.number;
}
