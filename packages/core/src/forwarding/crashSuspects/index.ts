import type { Step } from '../../step/index.ts';

/** What is known of a fingerprint of a request. */
export interface Suspect {
  /** Targets that broke off while they ran it. */
  readonly crashedIds: readonly string[];
  readonly atMs: number;
}

/** Suspects by fingerprint of path, caller and body. */
export type SuspectsState = ReadonlyMap<string, Suspect>;

/** A target broke off while it ran a request, seen here or by a peer. */
export type SuspectsEvent =
  | {
      readonly type: 'suspects.crashed';
      readonly atMs: number;
      readonly fingerprint: string;
      readonly targetId: string;
    }
  /** The request ended well, so it does not crash targets. */
  | { readonly type: 'suspects.cleared'; readonly fingerprint: string }
  | { readonly type: 'suspects.ticked'; readonly atMs: number };

/** Crashes after which a request is no longer sent. */
export const CRASH_LIMIT = 3;

/** A fingerprint is remembered for this long after its last crash. */
const SUSPECT_MEMORY_MS = 120_000;

/** No suspects. */
export const initialSuspects: SuspectsState = new Map();

/**
 * Keeps the requests that were running when targets broke off.
 *
 * @param state - The suspects.
 * @param event - What happened.
 * @returns The next suspects; there are no effects.
 *
 * @example
 * reduceSuspects(state, { type: 'suspects.cleared', fingerprint });
 */
export function reduceSuspects(
  state: SuspectsState,
  event: SuspectsEvent,
): Step<SuspectsState, never> {
  switch (event.type) {
    case 'suspects.crashed': {
      const known = state.get(event.fingerprint)?.crashedIds ?? [];
      const crashedIds = known.includes(event.targetId)
        ? known
        : [...known, event.targetId];
      const next = { crashedIds, atMs: event.atMs };
      return {
        state: new Map(state).set(event.fingerprint, next),
        effects: [],
      };
    }
    case 'suspects.cleared': {
      if (!state.has(event.fingerprint)) return { state, effects: [] };
      const next = new Map(state);
      next.delete(event.fingerprint);
      return { state: next, effects: [] };
    }
    case 'suspects.ticked':
      return {
        state: new Map(
          [...state].filter(
            ([, one]) => event.atMs - one.atMs < SUSPECT_MEMORY_MS,
          ),
        ),
        effects: [],
      };
  }
}

/**
 * Tells whether a request is known to crash targets.
 *
 * @param state - The suspects.
 * @param fingerprint - Of path, caller and body.
 * @returns Whether it must not be sent.
 *
 * @example
 * isCrasher(state, fingerprint);
 */
export function isCrasher(state: SuspectsState, fingerprint: string): boolean {
  return (state.get(fingerprint)?.crashedIds.length ?? 0) >= CRASH_LIMIT;
}
