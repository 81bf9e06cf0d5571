import type { Ran, StoredAnswer } from '@endivegate/contracts';
import type { EventBase, RequestEnd } from '../../events/index.ts';
import {
  createClaim,
  putEffect,
  raiseEffect,
  removeClaim,
  scheduleRetry,
  updateClaim,
} from './claimSteps.ts';
import {
  DEAD_SETTLE_MS,
  LOOKUP_AFTER_MS,
  UNKNOWN_SETTLE_MS,
} from './constants.ts';
import type {
  FoundClaim,
  OnceEvent,
  OnceState,
  OnceStep,
  OpenClaim,
} from './types.ts';

type LookupResult = Extract<
  OnceEvent,
  { readonly type: 'once.lookedUp' }
>['result'];

/** Result told to the caller of a call whose key another claim holds. */
interface CallResult {
  readonly ran: Ran;
  readonly end: RequestEnd;
  readonly answer?: StoredAnswer | undefined;
}

/**
 * Handles a stored claim that was created for the same key with another token.
 *
 * @param state - State of the slice.
 * @param openClaim - This request's open claim.
 * @param options - The event and the stored claim.
 * @returns The step that replays, refuses, waits, looks up or takes over.
 */
export function handleOtherClaim(
  state: OnceState,
  openClaim: OpenClaim,
  options: { readonly event: EventBase; readonly found: FoundClaim },
): OnceStep {
  const { event, found } = options;
  const { claim, version } = found;
  if (claim.bodyHash !== openClaim.request.fingerprint) {
    return endWithResult(state, openClaim, {
      event,
      callResult: keyReusedResult,
    });
  }
  switch (claim.state.type) {
    case 'notRun':
      return createClaim(state, { ...openClaim, version }, event);
    case 'done':
      return endWithResult(state, openClaim, {
        event,
        callResult: doneResult(claim.state.answer),
      });
    case 'failed':
      return endWithResult(state, openClaim, {
        event,
        callResult: { ran: 'yes', end: claim.state },
      });
    case 'settled':
      return endWithResult(state, openClaim, {
        event,
        callResult: doneResult(undefined),
      });
    case 'unknown':
      return resolveInDoubt(state, openClaim, { event, found });
    case 'claimed':
      return isCreatorDead(state, found) || isLookupWorthwhile(state, found)
        ? resolveInDoubt(state, openClaim, { event, found })
        : waitForOther(state, openClaim, { event, found });
  }
}

/**
 * Handles the result of looking the key up at the service.
 *
 * @param state - State of the slice.
 * @param openClaim - An open claim in phase `lookingUp`.
 * @param options - The event and the service's reply.
 * @returns The step that replays, waits, takes over or leaves the call in doubt.
 */
export function handleLookupResult(
  state: OnceState,
  openClaim: OpenClaim,
  options: { readonly event: EventBase; readonly result: LookupResult },
): OnceStep {
  const { event, result } = options;
  const { found } = openClaim;
  if (found === undefined) return updateClaim(state, openClaim);
  if (result.type === 'done') {
    return settleAsDone(state, openClaim, {
      event,
      found,
      answer: result.answer,
    });
  }
  // A live creator may still send, so only the state that it writes can say
  // that the call did not run.
  if (isCreatorWaiting(state, found))
    return waitForOther(state, openClaim, { event, found });
  switch (result.type) {
    case 'running':
      return waitForOther(state, openClaim, { event, found });
    case 'absent':
      return isTakeoverSafe(found)
        ? createClaim(state, { ...openClaim, version: found.version }, event)
        : endWithResult(state, openClaim, { event, callResult: inDoubtResult });
    case 'failed':
      return endWithResult(state, openClaim, {
        event,
        callResult: inDoubtResult,
      });
  }
}

function resolveInDoubt(
  state: OnceState,
  openClaim: OpenClaim,
  options: { readonly event: EventBase; readonly found: FoundClaim },
): OnceStep {
  const { event, found } = options;
  if (!state.lookupTargetIds.has(found.claim.targetId)) {
    return endWithResult(state, openClaim, {
      event,
      callResult: inDoubtResult,
    });
  }
  return updateClaim(state, { ...openClaim, phase: 'lookingUp', found }, [
    claimContendedEffect(openClaim, event),
    {
      type: 'once.lookUp',
      requestId: openClaim.request.requestId,
      targetId: found.claim.targetId,
      idempotencyKey: found.claim.idempotencyKey,
    },
  ]);
}

/** Records the outcome that the service reported, in place of the creator. */
function settleAsDone(
  state: OnceState,
  openClaim: OpenClaim,
  options: {
    readonly event: EventBase;
    readonly found: FoundClaim;
    readonly answer: StoredAnswer | undefined;
  },
): OnceStep {
  const { event, found, answer } = options;
  const settling: OpenClaim = {
    ...openClaim,
    phase: 'recording',
    abandoned: true,
    token: found.claim.token,
    version: found.version,
    outcome: { type: 'done', answer },
    giveUpAtMs: openClaim.request.deadlineAtMs,
  };
  return updateClaim(state, settling, [
    putEffect(state, settling),
    claimRefusedEffect(openClaim, event, doneResult(answer)),
  ]);
}

function waitForOther(
  state: OnceState,
  openClaim: OpenClaim,
  options: { readonly event: EventBase; readonly found: FoundClaim },
): OnceStep {
  const { event, found } = options;
  const step = scheduleRetry(
    state,
    { ...openClaim, found },
    { event, phase: 'waiting' },
  );
  return {
    state: step.state,
    effects: [claimContendedEffect(openClaim, event)],
  };
}

function endWithResult(
  state: OnceState,
  openClaim: OpenClaim,
  options: { readonly event: EventBase; readonly callResult: CallResult },
): OnceStep {
  return removeClaim(state, openClaim, [
    claimRefusedEffect(openClaim, options.event, options.callResult),
  ]);
}

function claimRefusedEffect(
  openClaim: OpenClaim,
  event: EventBase,
  callResult: CallResult,
) {
  return raiseEffect(event, {
    type: 'request.claimRefused',
    requestId: openClaim.request.requestId,
    ran: callResult.ran,
    end: callResult.end,
    answer: callResult.answer,
  });
}

function claimContendedEffect(openClaim: OpenClaim, event: EventBase) {
  return raiseEffect(event, {
    type: 'request.claimContended',
    requestId: openClaim.request.requestId,
  });
}

const keyReusedResult: CallResult = {
  ran: 'no',
  end: { type: 'refused', reason: 'keyReused', retryAfterMs: undefined },
};

const inDoubtResult: CallResult = { ran: 'unknown', end: { type: 'inDoubt' } };

function doneResult(answer: StoredAnswer | undefined): CallResult {
  return answer === undefined
    ? { ran: 'yes', end: { type: 'failed', reason: 'ran; no answer is kept' } }
    : { ran: 'yes', end: { type: 'answered' }, answer };
}

/** Whether the process that created the claim is known to have ended. */
function isCreatorDead(state: OnceState, { claim }: FoundClaim): boolean {
  const { entryId, incarnation } = claim;
  const liveIncarnation = state.live.get(entryId);
  return (
    state.dead.has(`${entryId}/${incarnation}`) ||
    (liveIncarnation !== undefined && liveIncarnation > incarnation)
  );
}

function isCreatorWaiting(state: OnceState, found: FoundClaim): boolean {
  return found.claim.state.type === 'claimed' && !isCreatorDead(state, found);
}

/**
 * Whether the service may have run the call although the live creator has no
 * answer, for example because its connection has gone silent.
 */
function isLookupWorthwhile(state: OnceState, found: FoundClaim): boolean {
  return (
    found.ageMs >= LOOKUP_AFTER_MS &&
    state.lookupTargetIds.has(found.claim.targetId)
  );
}

/** Whether no request that the creator sent can still be in transit. */
function isTakeoverSafe({ claim, ageMs }: FoundClaim): boolean {
  const limitMs =
    claim.state.type === 'claimed' ? DEAD_SETTLE_MS : UNKNOWN_SETTLE_MS;
  return ageMs >= limitMs;
}
