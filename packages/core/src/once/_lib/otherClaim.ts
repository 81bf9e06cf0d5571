import type { Ran, StoredAnswer } from '@endivegate/contracts';
import type { EventBase, RequestEnd } from '../../events/index.ts';
import {
  DEAD_SETTLE_MS,
  LOOKUP_AFTER_MS,
  UNKNOWN_SETTLE_MS,
} from './constants.ts';
import { create, drop, keep, later, putEffect, raise } from './work.ts';
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

/** What the caller is told of a call that another claim decides. */
interface Verdict {
  readonly ran: Ran;
  readonly end: RequestEnd;
  readonly answer?: StoredAnswer | undefined;
}

/**
 * Acts on a claim that another token holds for the same key.
 *
 * @param state - State of the slice.
 * @param work - The work of this request.
 * @param options - The event and the claim.
 * @returns The step that replays, refuses, waits, looks up or takes over.
 */
export function judgeOther(
  state: OnceState,
  work: OpenClaim,
  options: { readonly event: EventBase; readonly found: FoundClaim },
): OnceStep {
  const { event, found } = options;
  const { claim, version } = found;
  if (claim.bodyHash !== work.request.fingerprint) {
    return tell(state, work, { event, verdict: keyReused });
  }
  switch (claim.state.type) {
    case 'notRun':
      return create(state, { ...work, version }, event);
    case 'done':
      return tell(state, work, {
        event,
        verdict: verdictOfDone(claim.state.answer),
      });
    case 'failed':
      return tell(state, work, {
        event,
        verdict: { ran: 'yes', end: claim.state },
      });
    case 'settled':
      return tell(state, work, {
        event,
        verdict: verdictOfDone(undefined),
      });
    case 'unknown':
      return resolveDoubt(state, work, { event, found });
    case 'claimed':
      return isCreatorDead(state, found) || isLookupWorthwhile(state, found)
        ? resolveDoubt(state, work, { event, found })
        : wait(state, work, { event, found });
  }
}

/**
 * Goes on after a service was asked about the key.
 *
 * @param state - State of the slice.
 * @param work - Work in phase `lookingUp`.
 * @param options - The event and the service's answer.
 * @returns The step that replays, waits, takes over or leaves it in doubt.
 */
export function afterLookup(
  state: OnceState,
  work: OpenClaim,
  options: { readonly event: EventBase; readonly result: LookupResult },
): OnceStep {
  const { event, result } = options;
  const { found } = work;
  if (found === undefined) return keep(state, work);
  if (result.type === 'done') {
    return settleAsDone(state, work, { event, found, answer: result.answer });
  }
  // A live creator may still send; only its own word says that it did not.
  if (isCreatorWaiting(state, found))
    return wait(state, work, { event, found });
  switch (result.type) {
    case 'running':
      return wait(state, work, { event, found });
    case 'absent':
      return isDoubtOver(found)
        ? create(state, { ...work, version: found.version }, event)
        : tell(state, work, { event, verdict: inDoubt });
    case 'failed':
      return tell(state, work, { event, verdict: inDoubt });
  }
}

function resolveDoubt(
  state: OnceState,
  work: OpenClaim,
  options: { readonly event: EventBase; readonly found: FoundClaim },
): OnceStep {
  const { event, found } = options;
  if (!state.lookupTargetIds.has(found.claim.targetId)) {
    return tell(state, work, { event, verdict: inDoubt });
  }
  return keep(state, { ...work, phase: 'lookingUp', found }, [
    contended(work, event),
    {
      type: 'once.lookUp',
      requestId: work.request.requestId,
      targetId: found.claim.targetId,
      idempotencyKey: found.claim.idempotencyKey,
    },
  ]);
}

/** Writes what the service knows into the claim, in its creator's place. */
function settleAsDone(
  state: OnceState,
  work: OpenClaim,
  options: {
    readonly event: EventBase;
    readonly found: FoundClaim;
    readonly answer: StoredAnswer | undefined;
  },
): OnceStep {
  const { event, found, answer } = options;
  const settling: OpenClaim = {
    ...work,
    phase: 'recording',
    abandoned: true,
    token: found.claim.token,
    version: found.version,
    outcome: { type: 'done', answer },
    giveUpAtMs: work.request.deadlineAtMs,
  };
  return keep(state, settling, [
    putEffect(state, settling),
    refusal(work, event, verdictOfDone(answer)),
  ]);
}

function wait(
  state: OnceState,
  work: OpenClaim,
  options: { readonly event: EventBase; readonly found: FoundClaim },
): OnceStep {
  const { event, found } = options;
  const step = later(state, { ...work, found }, { event, phase: 'waiting' });
  return { state: step.state, effects: [contended(work, event)] };
}

function tell(
  state: OnceState,
  work: OpenClaim,
  options: { readonly event: EventBase; readonly verdict: Verdict },
): OnceStep {
  return drop(state, work, [refusal(work, options.event, options.verdict)]);
}

function refusal(work: OpenClaim, event: EventBase, verdict: Verdict) {
  return raise(event, {
    type: 'request.claimRefused',
    requestId: work.request.requestId,
    ran: verdict.ran,
    end: verdict.end,
    answer: verdict.answer,
  });
}

function contended(work: OpenClaim, event: EventBase) {
  return raise(event, {
    type: 'request.claimContended',
    requestId: work.request.requestId,
  });
}

const keyReused: Verdict = {
  ran: 'no',
  end: { type: 'refused', reason: 'keyReused', retryAfterMs: undefined },
};

const inDoubt: Verdict = { ran: 'unknown', end: { type: 'inDoubt' } };

function verdictOfDone(answer: StoredAnswer | undefined): Verdict {
  return answer === undefined
    ? { ran: 'yes', end: { type: 'failed', reason: 'ran; no answer is kept' } }
    : { ran: 'yes', end: { type: 'answered' }, answer };
}

/** Whether the creator's process is known to have ended. */
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
 * Whether the service may know of a run whose answer does not reach the live
 * creator, as on a connection that has gone silent.
 */
function isLookupWorthwhile(state: OnceState, found: FoundClaim): boolean {
  return (
    found.ageMs >= LOOKUP_AFTER_MS &&
    state.lookupTargetIds.has(found.claim.targetId)
  );
}

/** Whether nothing that the creator sent can still be on its way. */
function isDoubtOver({ claim, ageMs }: FoundClaim): boolean {
  const limitMs =
    claim.state.type === 'claimed' ? DEAD_SETTLE_MS : UNKNOWN_SETTLE_MS;
  return ageMs >= limitMs;
}
