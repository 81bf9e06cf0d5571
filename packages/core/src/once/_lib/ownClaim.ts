import type { ClaimState } from '@endivegate/contracts';
import { getEntry } from '../../bucketMap/index.ts';
import type { EventBase, SharedEvent } from '../../events/index.ts';
import { ranOfAttempt } from '../../requests/_lib/ran.ts';
import { unchanged } from '../../step/index.ts';
import {
  createClaim,
  putEffect,
  raiseEffect,
  readEffect,
  recordOutcome,
  removeClaim,
  scheduleRetry,
  tokenPrefix,
  updateClaim,
} from './claimSteps.ts';
import { SETTLE_GRACE_MS, STORE_DOWN_RETRY_AFTER_MS } from './constants.ts';
import { handleOtherClaim } from './otherClaim.ts';
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
 * Requests a claim for a call that routing has assigned to a target.
 *
 * @param state - State of the slice.
 * @param event - The request and its target.
 * @returns The step that writes the claim to the store.
 */
export function requestClaim(
  state: OnceState,
  event: EventOf<'request.claimWanted'>,
): OnceStep {
  const { request, targetId } = event;
  const existing = getEntry(state.openClaims, request.requestId);
  if (existing !== undefined && existing.phase !== 'held')
    return unchanged(state);
  const openClaim: OpenClaim = existing ?? {
    request,
    targetId,
    phase: 'creating',
    token: '',
    tokenCount: 0,
    sendByMs: 0,
    version: 0,
    abandoned: false,
    mayBeStored: false,
    attemptId: undefined,
    outcome: undefined,
    found: undefined,
    dueAtMs: 0,
    failures: 0,
    giveUpAtMs: 0,
  };
  return createClaim(state, { ...openClaim, targetId }, event);
}

/**
 * Handles the result of writing the claim to the store.
 *
 * @param state - State of the slice.
 * @param openClaim - An open claim in phase `creating`.
 * @param options - The event and the result of the write.
 * @returns The step that sends, waits, retries or refuses.
 */
export function handleCreateResult(
  state: OnceState,
  openClaim: OpenClaim,
  options: { readonly event: EventBase; readonly result: ClaimPutResult },
): OnceStep {
  const { event, result } = options;
  switch (result.type) {
    case 'written':
      return grantOrRelease(
        state,
        { ...openClaim, version: result.version },
        event,
      );
    case 'conflict':
      return handleFoundClaim(state, openClaim, { event, found: result.found });
    case 'replyLost':
      return readBack(state, { ...openClaim, mayBeStored: true });
    case 'noEffect':
      if (!openClaim.abandoned) {
        return scheduleRetry(state, openClaim, {
          event,
          phase: 'createRetryPending',
        });
      }
      return openClaim.mayBeStored
        ? scheduleRetry(state, openClaim, {
            event,
            phase: 'readBackRetryPending',
          })
        : removeClaim(state, openClaim);
    case 'keyExpired':
      return removeClaim(
        state,
        openClaim,
        openClaim.abandoned
          ? []
          : [claimRefusedEffect(openClaim, event, 'keyExpired')],
      );
  }
}

/**
 * Handles the claim found in the store while it is not known whether this
 * request's own claim was written.
 *
 * @param state - State of the slice.
 * @param openClaim - The open claim.
 * @param options - The event and the stored claim, undefined when there is none.
 * @returns The step that follows.
 */
export function handleFoundClaim(
  state: OnceState,
  openClaim: OpenClaim,
  options: {
    readonly event: EventBase;
    readonly found: FoundClaim | undefined;
  },
): OnceStep {
  const { event, found } = options;
  if (found === undefined) {
    if (openClaim.abandoned) {
      return scheduleRetry(state, openClaim, {
        event,
        phase: 'readBackRetryPending',
      });
    }
    return retryCreate(state, { ...openClaim, version: 0 });
  }
  if (found.claim.token === openClaim.token) {
    return found.claim.state.type === 'claimed'
      ? grantOrRelease(state, { ...openClaim, version: found.version }, event)
      : removeClaim(state, openClaim);
  }
  if (openClaim.abandoned) return removeClaim(state, openClaim);
  return isOwnEarlierClaim(state, openClaim, found)
    ? createClaim(state, { ...openClaim, version: found.version }, event)
    : handleOtherClaim(state, openClaim, { event, found });
}

/**
 * Whether the stored claim has an earlier token of this request. That token
 * was not used for sending, or what was sent with it did not run.
 */
function isOwnEarlierClaim(
  state: OnceState,
  openClaim: OpenClaim,
  found: FoundClaim,
): boolean {
  return (
    found.claim.state.type === 'claimed' &&
    found.claim.token.startsWith(tokenPrefix(state, openClaim))
  );
}

/**
 * Reads the claim back after a write whose reply was lost.
 *
 * @param state - State of the slice.
 * @param openClaim - The open claim.
 * @returns The step that reads the claim.
 */
export function readBack(state: OnceState, openClaim: OpenClaim): OnceStep {
  return updateClaim(state, { ...openClaim, phase: 'readingBack' }, [
    readEffect(openClaim),
  ]);
}

/**
 * Writes the claim again with the same token, which is idempotent.
 *
 * @param state - State of the slice.
 * @param openClaim - The open claim.
 * @returns The step that writes the claim.
 */
export function retryCreate(state: OnceState, openClaim: OpenClaim): OnceStep {
  const creating: OpenClaim = { ...openClaim, phase: 'creating' };
  return updateClaim(state, creating, [putEffect(state, creating)]);
}

/**
 * Grants the request its send, or releases the claim when the request has been
 * abandoned or the send window or its deadline has passed.
 */
function grantOrRelease(
  state: OnceState,
  openClaim: OpenClaim,
  event: EventBase,
): OnceStep {
  const isLate =
    event.atMs > openClaim.sendByMs ||
    event.atMs >= openClaim.request.deadlineAtMs;
  if (!openClaim.abandoned && !isLate) {
    const held: OpenClaim = { ...openClaim, phase: 'held', failures: 0 };
    return updateClaim(state, held, [
      raiseEffect(event, {
        type: 'request.claimGranted',
        requestId: openClaim.request.requestId,
      }),
    ]);
  }
  const step = recordOutcome(
    state,
    { ...openClaim, abandoned: true },
    { event, outcome: { type: 'notRun' } },
  );
  if (openClaim.abandoned) return step;
  return {
    state: step.state,
    effects: [
      ...step.effects,
      claimRefusedEffect(openClaim, event, 'storeDown'),
    ],
  };
}

/**
 * Refuses a request whose claim the store did not confirm within the send
 * window.
 *
 * If the claim may be in the store, it is read back and released.
 *
 * @param state - State of the slice.
 * @param openClaim - A claim not known to be stored.
 * @param event - The clock tick.
 * @returns The step.
 */
export function refuseAfterSendWindow(
  state: OnceState,
  openClaim: OpenClaim,
  event: EventBase,
): OnceStep {
  const abandoned: OpenClaim = { ...openClaim, abandoned: true };
  const refusal = claimRefusedEffect(openClaim, event, 'storeDown');
  if (openClaim.phase !== 'createRetryPending')
    return updateClaim(state, abandoned, [refusal]);
  return openClaim.mayBeStored
    ? updateClaim(state, { ...abandoned, phase: 'readBackRetryPending' }, [
        refusal,
      ])
    : removeClaim(state, abandoned, [refusal]);
}

function claimRefusedEffect(
  openClaim: OpenClaim,
  event: EventBase,
  reason: 'storeDown' | 'keyExpired',
): ReturnType<typeof raiseEffect> {
  return raiseEffect(event, {
    type: 'request.claimRefused',
    requestId: openClaim.request.requestId,
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
 * Remembers which attempt sends the claimed call.
 *
 * @param state - State of the slice.
 * @param event - The start of the attempt.
 * @returns The step.
 */
export function trackAttempt(
  state: OnceState,
  event: EventOf<'attempt.started'>,
): OnceStep {
  const openClaim = getEntry(state.openClaims, event.requestId);
  if (openClaim?.phase !== 'held') return unchanged(state);
  return updateClaim(state, { ...openClaim, attemptId: event.attemptId });
}

/**
 * Writes the outcome of the attempt that sent the claimed call.
 *
 * After an attempt that did not run the claim stays held: the request may be
 * sent again with a new token, and the claim is released when the request ends.
 *
 * @param state - State of the slice.
 * @param event - The end of the attempt.
 * @returns The step.
 */
export function handleAttemptEnd(
  state: OnceState,
  event: EventOf<'attempt.ended'>,
): OnceStep {
  const openClaim = getEntry(state.openClaims, event.requestId);
  if (openClaim?.phase !== 'held' || openClaim.attemptId !== event.attemptId) {
    return unchanged(state);
  }
  const ran = ranOfAttempt(event);
  if (ran === 'no') {
    const unsent = { ...openClaim, attemptId: undefined };
    return openClaim.abandoned
      ? recordOutcome(state, unsent, { event, outcome: { type: 'notRun' } })
      : updateClaim(state, unsent);
  }
  return recordOutcome(state, openClaim, { event, outcome: outcomeOf(event) });
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
 * Stops waiting for another claim when the request has ended, and releases a
 * claim that was not used for sending.
 *
 * @param state - State of the slice.
 * @param event - The end of the request.
 * @returns The step.
 */
export function handleRequestEnd(
  state: OnceState,
  event: EventOf<'request.ended'>,
): OnceStep {
  const openClaim = getEntry(state.openClaims, event.requestId);
  if (openClaim === undefined) return unchanged(state);
  const abandoned: OpenClaim = { ...openClaim, abandoned: true };
  switch (openClaim.phase) {
    case 'held':
      return openClaim.attemptId === undefined
        ? recordOutcome(state, abandoned, {
            event,
            outcome: { type: 'notRun' },
          })
        : updateClaim(state, {
            ...abandoned,
            giveUpAtMs: openClaim.request.deadlineAtMs + SETTLE_GRACE_MS,
          });
    case 'waiting':
    case 'reading':
    case 'lookingUp':
      return removeClaim(state, openClaim);
    default:
      return updateClaim(state, abandoned);
  }
}
