import type { LeavingState } from '../leaving/index.ts';

/** How an entry handles a request that arrives now. */
export type NewRequestDecision =
  { readonly type: 'serve' } | { readonly type: 'relay' } | NewRequestRefusal;

/** The request is refused and has not run. */
export interface NewRequestRefusal {
  readonly type: 'refuse';
  readonly reason: 'leaving';
  /** Time after which the caller may retry at another entry. */
  readonly retryAfterMs: number;
}

/**
 * Decides whether an entry serves, relays or refuses a new request.
 *
 * A leaving entry serves no new requests. While callers may still hold a cached
 * entry list that names it, it relays them to another entry; after that time,
 * or when there is no other entry, it refuses them immediately.
 *
 * @param state - State of the leaving slice.
 * @returns The decision.
 *
 * @example
 * decideNewRequest(state.leaving); // { type: 'serve' }
 */
export function decideNewRequest(state: LeavingState): NewRequestDecision {
  if (state.phase === 'running') return { type: 'serve' };
  const elapsedMs = state.nowMs - state.requestedAtMs;
  if (
    state.phase === 'leaving' &&
    state.hasPeers &&
    elapsedMs < state.lingerMs
  ) {
    return { type: 'relay' };
  }
  return { type: 'refuse', reason: 'leaving', retryAfterMs: 0 };
}
