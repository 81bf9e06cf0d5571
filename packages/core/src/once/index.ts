import { emptyBucketMap, getEntry } from '../bucketMap/index.ts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';
import { removeClaim, scheduleRetry } from './_lib/claimSteps.ts';
import { handleTick } from './_lib/handleTick.ts';
import { handleLookupResult } from './_lib/otherClaim.ts';
import {
  handleAttemptEnd,
  handleCreateResult,
  handleFoundClaim,
  handleRequestEnd,
  requestClaim,
  trackAttempt,
} from './_lib/ownClaim.ts';
import type {
  ClaimPutResult,
  ClaimReadResult,
  OnceEffect,
  OnceEvent,
  OnceState,
  OnceStep,
} from './_lib/types.ts';

export type {
  ClaimDraft,
  ClaimPhase,
  ClaimPutResult,
  ClaimReadResult,
  FoundClaim,
  OnceEffect,
  OnceEvent,
  OnceState,
  OpenClaim,
} from './_lib/types.ts';
export {
  CLAIM_RETENTION_MS,
  CLAIM_SHARDS,
  DEAD_SETTLE_MS,
  SEND_WINDOW_MS,
  SETTLE_GRACE_MS,
  UNKNOWN_SETTLE_MS,
} from './_lib/constants.ts';

/**
 * Ensures that a call that is not repeatable is sent at most once.
 *
 * Just before sending, the entry creates a claim with a unique token in the
 * store by compare-and-swap. Only the creator of the token sends the call,
 * once, and only within {@link SEND_WINDOW_MS} of requesting the claim. The
 * outcome is written into the claim, so that any entry can answer a repeated
 * call from it.
 */
export const onceSlice: Slice<OnceState, OnceEvent, OnceEffect> = {
  initial: {
    self: undefined,
    openClaims: emptyBucketMap(),
    dead: new Set(),
    live: new Map(),
    lookupTargetIds: new Set(),
    nextSweepAtMs: 0,
    nextSweepShard: 0,
  },
  reduce: reduceOnce,
};

function reduceOnce(
  state: OnceState,
  event: OnceEvent | SharedEvent,
): OnceStep {
  switch (event.type) {
    case 'entry.started':
      return { state: { ...state, self: event.self }, effects: [] };
    case 'members.changed':
      return { state: updateMembers(state, event), effects: [] };
    case 'targets.changed':
      return { state: updateLookupTargets(state, event), effects: [] };
    case 'request.claimWanted':
      return requestClaim(state, event);
    case 'attempt.started':
      return trackAttempt(state, event);
    case 'attempt.ended':
      return handleAttemptEnd(state, event);
    case 'request.ended':
      return handleRequestEnd(state, event);
    case 'clock.ticked':
      return handleTick(state, event);
    case 'once.putDone':
      return handlePutResult(state, event);
    case 'once.readDone':
      return handleReadResult(state, event);
    case 'once.lookedUp': {
      const openClaim = getEntry(state.openClaims, event.requestId);
      return openClaim?.phase === 'lookingUp'
        ? handleLookupResult(state, openClaim, { event, result: event.result })
        : unchanged(state);
    }
    default:
      return unchanged(state);
  }
}

function handlePutResult(
  state: OnceState,
  event: EventBase & {
    readonly requestId: string;
    readonly result: ClaimPutResult;
  },
): OnceStep {
  const openClaim = getEntry(state.openClaims, event.requestId);
  if (openClaim?.phase === 'creating') {
    return handleCreateResult(state, openClaim, {
      event,
      result: event.result,
    });
  }
  if (openClaim?.phase !== 'recording') return unchanged(state);
  switch (event.result.type) {
    case 'noEffect':
    case 'replyLost':
      return scheduleRetry(state, openClaim, {
        event,
        phase: 'recordRetryPending',
      });
    default:
      return removeClaim(state, openClaim);
  }
}

function handleReadResult(
  state: OnceState,
  event: EventBase & {
    readonly requestId: string;
    readonly result: ClaimReadResult;
  },
): OnceStep {
  const openClaim = getEntry(state.openClaims, event.requestId);
  const { result } = event;
  if (openClaim?.phase === 'readingBack') {
    return result.type === 'failed'
      ? scheduleRetry(state, openClaim, {
          event,
          phase: 'readBackRetryPending',
        })
      : handleFoundClaim(state, openClaim, {
          event,
          found: foundClaimOf(result),
        });
  }
  if (openClaim?.phase !== 'reading') return unchanged(state);
  return result.type === 'failed'
    ? scheduleRetry(state, openClaim, { event, phase: 'waiting' })
    : handleFoundClaim(state, openClaim, {
        event,
        found: foundClaimOf(result),
      });
}

function foundClaimOf(
  result: Exclude<ClaimReadResult, { readonly type: 'failed' }>,
) {
  return result.type === 'found' ? result.found : undefined;
}

function updateMembers(
  state: OnceState,
  event: Extract<SharedEvent, { readonly type: 'members.changed' }>,
): OnceState {
  const live = [...event.live, ...event.leaving];
  const dead = event.dead.map((e) => `${e.entryId}/${e.incarnation}`);
  return {
    ...state,
    live: new Map(live.map((entry) => [entry.entryId, entry.incarnation])),
    dead: new Set(dead),
  };
}

function updateLookupTargets(
  state: OnceState,
  event: Extract<SharedEvent, { readonly type: 'targets.changed' }>,
): OnceState {
  const withLookup = event.targets.filter((target) => target.hasKeyLookup);
  return {
    ...state,
    lookupTargetIds: new Set(withLookup.map((target) => target.targetId)),
  };
}

/**
 * Counts the claims whose outcome is not yet written. An entry that is shutting
 * down waits for them.
 *
 * @param state - State of the slice.
 * @returns The number of open claims.
 */
export function countOpenClaims(state: OnceState): number {
  return state.openClaims.size;
}
