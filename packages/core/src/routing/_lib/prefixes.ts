import type { CacheEvent } from '@endivegate/contracts';
import { deleteEntry, getEntry, setEntry } from '../../bucketMap/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { storeEngineView, engineViewOf } from './engines.ts';
import type { PrefixHolders, RoutingState } from './types.ts';

/** Time after which a cached prefix is assumed to be evicted. */
const PREFIX_LIFETIME_MS = 120_000;

/** Largest number of engines stored per prefix. */
const MAX_HOLDERS = 4;

/** Largest number of prefixes stored at an entry. */
const MAX_PREFIXES = 20_000;

/** Fraction of a cached prefix that predictions count as cached. */
const TRUSTED_FRACTION = 0.9;

/** Returns the hashes of the prefixes of 1, 2, 4, 8, ... blocks. */
function sampledHashes(
  prefixHashes: readonly string[],
): readonly { readonly hash: string; readonly blocks: number }[] {
  const steps = Math.floor(Math.log2(Math.max(prefixHashes.length, 1))) + 1;
  return Array.from({ length: steps }, (_, n) => 2 ** n).flatMap((blocks) => {
    const hash = prefixHashes[blocks - 1];
    return hash === undefined ? [] : [{ hash, blocks }];
  });
}

/** Returns the leading tokens that each engine is expected to have cached. */
export function cachedTokensByTarget(
  state: RoutingState,
  request: RequestInfo,
  atMs: number,
): ReadonlyMap<string, number> {
  const { prefixHashes, promptTokens } = request;
  return new Map(
    sampledHashes(prefixHashes).flatMap(({ hash, blocks }) => {
      const part = (blocks / prefixHashes.length) * TRUSTED_FRACTION;
      const cachedTokens = Math.floor(promptTokens * part);
      return (getEntry(state.prefixes, hash) ?? [])
        .filter((holder) => atMs - holder.atMs < PREFIX_LIFETIME_MS)
        .map(({ targetId }) => [targetId, cachedTokens] as const);
    }),
  );
}

/** Stores the prefixes of a prompt that an engine has prefilled. */
export function rememberPrefixes(
  state: RoutingState,
  request: RequestInfo,
  at: { readonly targetId: string; readonly atMs: number },
): RoutingState {
  if (state.prefixes.size > MAX_PREFIXES) {
    return { ...state, prefixes: evictOldPrefixes(state, at.atMs) };
  }
  const prefixes = sampledHashes(request.prefixHashes).reduce(
    (existing, { hash }) =>
      setEntry(existing, hash, addHolder(getEntry(existing, hash) ?? [], at)),
    state.prefixes,
  );
  return { ...state, prefixes };
}

/**
 * Applies an engine's cache events.
 *
 * A gap in the sequence numbers means that events were lost. The stored
 * prefixes of the engine are kept even so, because no eviction was reported;
 * they expire by age.
 */
export function applyCacheEvents(
  state: RoutingState,
  targetId: string,
  events: readonly CacheEvent[],
  atMs: number,
): RoutingState {
  const last = events.at(-1);
  if (!last) return state;
  const prefixes = events.reduce((existing, { change, prefixHash }) => {
    const holders = getEntry(existing, prefixHash);
    // To save memory, prefixes that no prompt at this entry has used are skipped.
    if (!holders) return existing;
    return setEntry(
      existing,
      prefixHash,
      change === 'stored'
        ? addHolder(holders, { targetId, atMs })
        : holders.filter((holder) => holder.targetId !== targetId),
    );
  }, state.prefixes);
  const view = engineViewOf(state, targetId);
  return storeEngineView({ ...state, prefixes }, targetId, {
    ...view,
    cacheSequence: last.sequence,
  });
}

function addHolder(
  holders: PrefixHolders,
  at: { readonly targetId: string; readonly atMs: number },
): PrefixHolders {
  return [
    at,
    ...holders.filter((holder) => holder.targetId !== at.targetId),
  ].slice(0, MAX_HOLDERS);
}

function evictOldPrefixes(
  state: RoutingState,
  atMs: number,
): RoutingState['prefixes'] {
  const oldHashes = state.prefixes.buckets.flatMap((bucket) =>
    [...bucket].flatMap(([hash, [latest]]) =>
      latest && atMs - latest.atMs < PREFIX_LIFETIME_MS / 2 ? [] : [hash],
    ),
  );
  return oldHashes.reduce(deleteEntry, state.prefixes);
}
