import type { LeavingState } from '../leaving/index.ts';

/** What becomes of a request that arrives now. */
export type NewRequestDecision =
  { readonly type: 'serve' } | { readonly type: 'relay' } | NewRequestRefusal;

/** The request is refused as not run. */
export interface NewRequestRefusal {
  readonly type: 'refuse';
  readonly reason: 'leaving';
  /** Time after which the caller may ask the other entries again. */
  readonly retryAfterMs: number;
}

/**
 * Decides whether an entry takes a new request.
 *
 * A leaving entry starts nothing new itself. While callers may still keep an
 * answer that names it, it relays to another entry; afterwards, or when there
 * is none, it refuses at once.
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
