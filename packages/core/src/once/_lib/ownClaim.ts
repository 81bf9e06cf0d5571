import type { ClaimState } from '@endivegate/contracts';
import { getEntry } from '../../bucketMap/index.ts';
import type { EventBase, SharedEvent } from '../../events/index.ts';
import { ranOfAttempt } from '../../requests/_lib/ran.ts';
import { unchanged } from '../../step/index.ts';
import { judgeOther } from './otherClaim.ts';
import { SETTLE_GRACE_MS, STORE_DOWN_RETRY_AFTER_MS } from './constants.ts';
import {
  create,
  drop,
  keep,
  later,
  putEffect,
  raise,
  readEffect,
  record,
  tokenPrefix,
} from './work.ts';
import type {
  ClaimPutResult,
  FoundClaim,
  OnceState,
  OnceStep,
  OpenClaim,
} from './types.ts';

type EventOf<Type extends SharedEvent['type']> = Extract<
  SharedEvent,
  { readonly type: Type }
>;

/**
 * Starts on a claim for a request that routing has placed.
 *
 * @param state - State of the slice.
 * @param event - The request and its target.
 * @returns The step that asks the store for the right to send.
 */
export function wantClaim(
  state: OnceState,
  event: EventOf<'request.claimWanted'>,
): OnceStep {
  const { request, targetId } = event;
  const before = getEntry(state.open, request.requestId);
  if (before !== undefined && before.phase !== 'held') return unchanged(state);
  const work: OpenClaim = before ?? {
    request,
    targetId,
    phase: 'creating',
    token: '',
    claims: 0,
    sendByMs: 0,
    version: 0,
    abandoned: false,
    mayExist: false,
    attemptId: undefined,
    outcome: undefined,
    found: undefined,
    nextAtMs: 0,
    failures: 0,
    giveUpAtMs: 0,
  };
  return create(state, { ...work, targetId }, event);
}

/**
 * Goes on after the claim was written, or was not.
 *
 * @param state - State of the slice.
 * @param work - Work in phase `creating`.
 * @param options - The event and the result of the write.
 * @returns The step that sends, waits, tries again or refuses.
 */
export function afterCreate(
  state: OnceState,
  work: OpenClaim,
  options: { readonly event: EventBase; readonly result: ClaimPutResult },
): OnceStep {
  const { event, result } = options;
  switch (result.type) {
    case 'written':
      return take(state, { ...work, version: result.version }, event);
    case 'conflict':
      return judge(state, work, { event, found: result.found });
    case 'replyLost':
      return readBack(state, { ...work, mayExist: true });
    case 'noEffect':
      if (!work.abandoned) {
        return later(state, work, { event, phase: 'creatingLater' });
      }
      return work.mayExist
        ? later(state, work, { event, phase: 'readingBackLater' })
        : drop(state, work);
    case 'keyExpired':
      return drop(
        state,
        work,
        work.abandoned ? [] : [refuse(work, event, 'keyExpired')],
      );
  }
}

/**
 * Judges the claim found in the store while the own one is in question.
 *
 * @param state - State of the slice.
 * @param work - The work.
 * @param options - The event and the claim, undefined when there is none.
 * @returns The step that follows.
 */
export function judge(
  state: OnceState,
  work: OpenClaim,
  options: {
    readonly event: EventBase;
    readonly found: FoundClaim | undefined;
  },
): OnceStep {
  const { event, found } = options;
  if (found === undefined) {
    if (work.abandoned) {
      return later(state, work, { event, phase: 'readingBackLater' });
    }
    return rewrite(state, { ...work, version: 0 });
  }
  if (found.claim.token === work.token) {
    return found.claim.state.type === 'claimed'
      ? take(state, { ...work, version: found.version }, event)
      : drop(state, work);
  }
  if (work.abandoned) return drop(state, work);
  return isOwnEarlier(state, work, found)
    ? create(state, { ...work, version: found.version }, event)
    : judgeOther(state, work, { event, found });
}

/** An earlier token of this request was not used, or its send did not run. */
function isOwnEarlier(
  state: OnceState,
  work: OpenClaim,
  found: FoundClaim,
): boolean {
  return (
    found.claim.state.type === 'claimed' &&
    found.claim.token.startsWith(tokenPrefix(state, work))
  );
}

/**
 * Reads the claim after a write whose reply was lost.
 *
 * @param state - State of the slice.
 * @param work - The work.
 * @returns The step that reads.
 */
export function readBack(state: OnceState, work: OpenClaim): OnceStep {
  return keep(state, { ...work, phase: 'readingBack' }, [readEffect(work)]);
}

/**
 * Writes the claim again with the same token, which is harmless.
 *
 * @param state - State of the slice.
 * @param work - The work.
 * @returns The step that writes.
 */
export function rewrite(state: OnceState, work: OpenClaim): OnceStep {
  const creating: OpenClaim = { ...work, phase: 'creating' };
  return keep(state, creating, [putEffect(state, creating)]);
}

/** Uses the right to send, or gives it back when it must not be used. */
function take(state: OnceState, work: OpenClaim, event: EventBase): OnceStep {
  const isLate =
    event.atMs > work.sendByMs || event.atMs >= work.request.deadlineAtMs;
  if (!work.abandoned && !isLate) {
    const held: OpenClaim = { ...work, phase: 'held', failures: 0 };
    return keep(state, held, [
      raise(event, {
        type: 'request.claimGranted',
        requestId: work.request.requestId,
      }),
    ]);
  }
  const step = record(
    state,
    { ...work, abandoned: true },
    { event, outcome: { type: 'notRun' } },
  );
  if (work.abandoned) return step;
  return {
    state: step.state,
    effects: [...step.effects, refuse(work, event, 'storeDown')],
  };
}

/**
 * Tells the caller that the store gave no right to send in time.
 *
 * What the store may still hold of the claim is read back and released.
 *
 * @param state - State of the slice.
 * @param work - Work whose own claim is in question.
 * @param event - The pulse.
 * @returns The step.
 */
export function refuseLate(
  state: OnceState,
  work: OpenClaim,
  event: EventBase,
): OnceStep {
  const abandoned: OpenClaim = { ...work, abandoned: true };
  const refusal = refuse(work, event, 'storeDown');
  if (work.phase !== 'creatingLater') return keep(state, abandoned, [refusal]);
  return work.mayExist
    ? keep(state, { ...abandoned, phase: 'readingBackLater' }, [refusal])
    : drop(state, abandoned, [refusal]);
}

function refuse(
  work: OpenClaim,
  event: EventBase,
  reason: 'storeDown' | 'keyExpired',
): ReturnType<typeof raise> {
  return raise(event, {
    type: 'request.claimRefused',
    requestId: work.request.requestId,
    ran: 'no',
    end: {
      type: 'refused',
      reason,
      retryAfterMs:
        reason === 'storeDown' ? STORE_DOWN_RETRY_AFTER_MS : undefined,
    },
    answer: undefined,
  });
}

/**
 * Remembers which attempt uses the right to send.
 *
 * @param state - State of the slice.
 * @param event - The start.
 * @returns The step.
 */
export function noteAttempt(
  state: OnceState,
  event: EventOf<'attempt.started'>,
): OnceStep {
  const work = getEntry(state.open, event.requestId);
  if (work?.phase !== 'held') return unchanged(state);
  return keep(state, { ...work, attemptId: event.attemptId });
}

/**
 * Writes the outcome of the attempt that used the right to send.
 *
 * An attempt that did not run leaves the claim held: the request may be sent
 * again under a new token, and is released when it ends.
 *
 * @param state - State of the slice.
 * @param event - How the attempt ended.
 * @returns The step.
 */
export function endClaimedAttempt(
  state: OnceState,
  event: EventOf<'attempt.ended'>,
): OnceStep {
  const work = getEntry(state.open, event.requestId);
  if (work?.phase !== 'held' || work.attemptId !== event.attemptId) {
    return unchanged(state);
  }
  const ran = ranOfAttempt(event);
  if (ran === 'no') {
    const unsent = { ...work, attemptId: undefined };
    return work.abandoned
      ? record(state, unsent, { event, outcome: { type: 'notRun' } })
      : keep(state, unsent);
  }
  return record(state, work, { event, outcome: outcomeOf(event) });
}

function outcomeOf(event: EventOf<'attempt.ended'>): ClaimState {
  switch (event.end.type) {
    case 'done':
      return { type: 'done', answer: event.answer };
    case 'failed':
      return { type: 'failed', reason: event.end.reason };
    default:
      return { type: 'unknown', reason: event.end.type };
  }
}

/**
 * Stops what a request's end makes needless, and releases an unused claim.
 *
 * @param state - State of the slice.
 * @param event - The end.
 * @returns The step.
 */
export function endClaimedRequest(
  state: OnceState,
  event: EventOf<'request.ended'>,
): OnceStep {
  const work = getEntry(state.open, event.requestId);
  if (work === undefined) return unchanged(state);
  const abandoned: OpenClaim = { ...work, abandoned: true };
  switch (work.phase) {
    case 'held':
      return work.attemptId === undefined
        ? record(state, abandoned, { event, outcome: { type: 'notRun' } })
        : keep(state, {
            ...abandoned,
            giveUpAtMs: work.request.deadlineAtMs + SETTLE_GRACE_MS,
          });
    case 'waiting':
    case 'reading':
    case 'lookingUp':
      return drop(state, work);
    default:
      return keep(state, abandoned);
  }
}
