import type { Step } from '../../step/index.ts';

/** Presumed crashes of targets that ran a request with one fingerprint. */
export interface Suspect {
  /** Targets whose connection broke while they ran it. */
  readonly crashedTargetIds: readonly string[];
  /** Time of the last crash. */
  readonly atMs: number;
}

/** Suspects by the fingerprint of path, caller and body. */
export type SuspectsState = ReadonlyMap<string, Suspect>;

/** Events of the suspects; times are from the monotonic clock. */
export type SuspectsEvent =
  /** The connection to a target broke while it ran a request, as observed by this
   * entry or a peer; this counts as a crash of the target. */
  | {
      readonly type: 'suspects.crashed';
      readonly atMs: number;
      readonly fingerprint: string;
      readonly targetId: string;
    }
  /** The request succeeded, so it does not crash targets. */
  | { readonly type: 'suspects.cleared'; readonly fingerprint: string }
  | { readonly type: 'suspects.ticked'; readonly atMs: number };

/** Number of crashed targets after which a request is no longer sent. */
export const CRASH_LIMIT = 3;

/** Time for which a fingerprint is kept after its last crash. */
const SUSPECT_RETENTION_MS = 120_000;

/** Suspects before the first crash. */
export const initialSuspects: SuspectsState = new Map();

/**
 * Tracks the requests that were running when connections to targets broke.
 *
 * @param state - Current suspects.
 * @param event - The event to apply.
 * @returns The new suspects, without effects.
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
      const known = state.get(event.fingerprint)?.crashedTargetIds ?? [];
      const crashedTargetIds = known.includes(event.targetId)
        ? known
        : [...known, event.targetId];
      const next = { crashedTargetIds, atMs: event.atMs };
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
            ([, one]) => event.atMs - one.atMs < SUSPECT_RETENTION_MS,
          ),
        ),
        effects: [],
      };
  }
}

/**
 * Checks whether a request is known to crash targets.
 *
 * @param state - Current suspects.
 * @param fingerprint - Fingerprint of path, caller and body.
 * @returns Whether it must not be sent.
 *
 * @example
 * isCrasher(state, fingerprint);
 */
export function isCrasher(state: SuspectsState, fingerprint: string): boolean {
  return (state.get(fingerprint)?.crashedTargetIds.length ?? 0) >= CRASH_LIMIT;
}
