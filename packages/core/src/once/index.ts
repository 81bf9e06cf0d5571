import { emptyBucketMap, getEntry } from '../bucketMap/index.ts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';
import { afterLookup } from './_lib/otherClaim.ts';
import {
  afterCreate,
  endClaimedAttempt,
  endClaimedRequest,
  judge,
  noteAttempt,
  wantClaim,
} from './_lib/ownClaim.ts';
import { pulse } from './_lib/pulse.ts';
import type {
  ClaimPutResult,
  ClaimReadResult,
  OnceEffect,
  OnceEvent,
  OnceState,
  OnceStep,
} from './_lib/types.ts';
import { drop, later } from './_lib/work.ts';

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
 * Lets a call that may not be repeated be sent at most once.
 *
 * Just before the send, the entry creates a claim in the store by
 * compare-and-swap with a token of its own. Only the token's creator sends,
 * once, and only within {@link SEND_WINDOW_MS} of asking for the claim. What
 * came of it is written into the claim, for repeats through any entry.
 */
export const onceSlice: Slice<OnceState, OnceEvent, OnceEffect> = {
  initial: {
    self: undefined,
    open: emptyBucketMap(),
    dead: new Set(),
    live: new Map(),
    lookupTargetIds: new Set(),
    nextSweepAtMs: 0,
    nextShard: 0,
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
      return { state: noteMembers(state, event), effects: [] };
    case 'targets.changed':
      return { state: noteTargets(state, event), effects: [] };
    case 'request.claimWanted':
      return wantClaim(state, event);
    case 'attempt.started':
      return noteAttempt(state, event);
    case 'attempt.ended':
      return endClaimedAttempt(state, event);
    case 'request.ended':
      return endClaimedRequest(state, event);
    case 'clock.ticked':
      return pulse(state, event);
    case 'once.putDone':
      return afterPut(state, event);
    case 'once.readDone':
      return afterRead(state, event);
    case 'once.lookedUp': {
      const work = getEntry(state.open, event.requestId);
      return work?.phase === 'lookingUp'
        ? afterLookup(state, work, { event, result: event.result })
        : unchanged(state);
    }
    default:
      return unchanged(state);
  }
}

function afterPut(
  state: OnceState,
  event: EventBase & {
    readonly requestId: string;
    readonly result: ClaimPutResult;
  },
): OnceStep {
  const work = getEntry(state.open, event.requestId);
  if (work?.phase === 'creating') {
    return afterCreate(state, work, { event, result: event.result });
  }
  if (work?.phase !== 'recording') return unchanged(state);
  switch (event.result.type) {
    case 'noEffect':
    case 'replyLost':
      return later(state, work, { event, phase: 'recordingLater' });
    default:
      return drop(state, work);
  }
}

function afterRead(
  state: OnceState,
  event: EventBase & {
    readonly requestId: string;
    readonly result: ClaimReadResult;
  },
): OnceStep {
  const work = getEntry(state.open, event.requestId);
  const { result } = event;
  if (work?.phase === 'readingBack') {
    return result.type === 'failed'
      ? later(state, work, { event, phase: 'readingBackLater' })
      : judge(state, work, { event, found: foundOf(result) });
  }
  if (work?.phase !== 'reading') return unchanged(state);
  return result.type === 'failed'
    ? later(state, work, { event, phase: 'waiting' })
    : judge(state, work, { event, found: foundOf(result) });
}

function foundOf(
  result: Exclude<ClaimReadResult, { readonly type: 'failed' }>,
) {
  return result.type === 'found' ? result.found : undefined;
}

function noteMembers(
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

function noteTargets(
  state: OnceState,
  event: Extract<SharedEvent, { readonly type: 'targets.changed' }>,
): OnceState {
  const withLookup = event.targets.filter((target) => target.hasKeyLookup);
  return {
    ...state,
    lookupTargetIds: new Set(withLookup.map((target) => target.targetId)),
  };
}

/** Claims whose outcome is not written yet, for a stop to wait for. */
export function countOpenClaims(state: OnceState): number {
  return state.open.size;
}
