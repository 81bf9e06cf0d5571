import type { CacheEvent } from '@endivegate/contracts';
import { deleteEntry, getEntry, setEntry } from '../../bucketMap/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { keepView, viewOf } from './engines.ts';
import type { PrefixHolders, RoutingState } from './types.ts';

/** Time after which a prefix counts as evicted. */
const PREFIX_LIFETIME_MS = 120_000;

/** Engines remembered for a prefix. */
const MAX_HOLDERS = 4;

/** Prefixes remembered at an entry. */
const MAX_PREFIXES = 20_000;

/** Part of a cached prefix that is counted on. */
const TRUSTED_PART = 0.9;

/** Positions in a prompt at which prefixes are remembered: 1, 2, 4, 8, ... */
function sampledHashes(
  prefixHashes: readonly string[],
): readonly { readonly hash: string; readonly blocks: number }[] {
  const steps = Math.floor(Math.log2(Math.max(prefixHashes.length, 1))) + 1;
  return Array.from({ length: steps }, (_, n) => 2 ** n).flatMap((blocks) => {
    const hash = prefixHashes[blocks - 1];
    return hash === undefined ? [] : [{ hash, blocks }];
  });
}

/** Returns how many leading tokens each engine is expected to have cached. */
export function cachedTokensByTarget(
  state: RoutingState,
  request: RequestInfo,
  atMs: number,
): ReadonlyMap<string, number> {
  const { prefixHashes, promptTokens } = request;
  return new Map(
    sampledHashes(prefixHashes).flatMap(({ hash, blocks }) => {
      const part = (blocks / prefixHashes.length) * TRUSTED_PART;
      const cachedTokens = Math.floor(promptTokens * part);
      return (getEntry(state.prefixes, hash) ?? [])
        .filter((holder) => atMs - holder.atMs < PREFIX_LIFETIME_MS)
        .map(({ targetId }) => [targetId, cachedTokens] as const);
    }),
  );
}

/** Remembers that an engine has prefilled a prompt. */
export function rememberPrefixes(
  state: RoutingState,
  request: RequestInfo,
  at: { readonly targetId: string; readonly atMs: number },
): RoutingState {
  if (state.prefixes.size > MAX_PREFIXES) {
    return { ...state, prefixes: withoutOld(state, at.atMs) };
  }
  const prefixes = sampledHashes(request.prefixHashes).reduce(
    (known, { hash }) =>
      setEntry(known, hash, withHolder(getEntry(known, hash) ?? [], at)),
    state.prefixes,
  );
  return { ...state, prefixes };
}

/**
 * Applies an engine's cache events.
 *
 * A gap in their numbers says that some were lost: what is known of the engine
 * stays, since absence was not reported, and ages out by its time.
 */
export function applyCacheEvents(
  state: RoutingState,
  targetId: string,
  events: readonly CacheEvent[],
  atMs: number,
): RoutingState {
  const last = events.at(-1);
  if (!last) return state;
  const prefixes = events.reduce((known, { change, prefixHash }) => {
    const holders = getEntry(known, prefixHash);
    // Only prefixes that this entry has met are worth the memory.
    if (!holders) return known;
    return setEntry(
      known,
      prefixHash,
      change === 'stored'
        ? withHolder(holders, { targetId, atMs })
        : holders.filter((holder) => holder.targetId !== targetId),
    );
  }, state.prefixes);
  const view = viewOf(state, targetId);
  return keepView({ ...state, prefixes }, targetId, {
    ...view,
    cacheSequence: last.sequence,
  });
}

function withHolder(
  holders: PrefixHolders,
  at: { readonly targetId: string; readonly atMs: number },
): PrefixHolders {
  return [
    at,
    ...holders.filter((holder) => holder.targetId !== at.targetId),
  ].slice(0, MAX_HOLDERS);
}

function withoutOld(
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
