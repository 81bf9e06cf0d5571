import type { EntryAddress } from '@endivegate/contracts';

/** What {@link pickTableSources} chooses from. */
export interface TableSourceQuery {
  readonly selfId: string;
  readonly live: readonly EntryAddress[];
  /** Table number by entry, as last heard. */
  readonly numbersByEntry: ReadonlyMap<string, number>;
  /** Entries with at least this number can serve it. */
  readonly number: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** Options of {@link pickTableSources}. */
export interface PickTableSourcesOptions {
  readonly maxSources?: number;
}

const DEFAULTS: Required<PickTableSourcesOptions> = { maxSources: 3 };

/**
 * Picks the peers to fetch a table number from, those of the own data centre
 * first.
 *
 * The start of the choice is random, so that readers spread over all peers
 * that hold the number. Peers of unknown number are tried last.
 *
 * @param query - The wanted number and what is known of the peers.
 * @param options - Number of peers to name.
 * @returns Entry ids in the order to try.
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
  const start = Math.floor(query.random * peers.length);
  const rotated = [...peers.slice(start), ...peers.slice(0, start)];
  const rank = (peer: EntryAddress): number =>
    (holdsNumber(query, peer.entryId) ? 0 : 2) +
    (peer.dataCentre === self?.dataCentre ? 0 : 1);
  return rotated
    .map((peer) => ({ entryId: peer.entryId, rank: rank(peer) }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, maxSources)
    .map(({ entryId }) => entryId);
}

function holdsNumber(query: TableSourceQuery, entryId: string): boolean {
  const number = query.numbersByEntry.get(entryId) ?? 0;
  return number > 0 && number >= query.number;
}
