import { emptyBucketMap, getEntry } from '../bucketMap/index.ts';
import { chainSteps } from '../chainSteps/index.ts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import type { RequestInfo } from '../request/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';
import { admit, forget, keep, prove, refuse } from './_lib/flights.ts';
import {
  applyVerdict,
  askForTrial,
  askWaiting,
  suspect,
} from './_lib/trials.ts';
import type {
  SuspectsEffect,
  SuspectsEvent,
  SuspectsState,
  SuspectsStep,
} from './_lib/types.ts';

export type {
  TrackedRequest as Flight,
  TrackedRequestPhase as FlightPhase,
  KnownSuspect,
  SuspectsEffect,
  SuspectsEvent,
  SuspectsState,
} from './_lib/types.ts';

/**
 * Bounds how many targets one request can take down.
 *
 * A request in flight at a target's crash is a suspect by its fingerprint. It
 * runs once more, by one entry of the fleet at a time and apart from other
 * suspects; one that was there at repeated crashes is refused everywhere.
 */
export const suspectsSlice: Slice<
  SuspectsState,
  SuspectsEvent,
  SuspectsEffect
> = {
  initial: {
    flights: emptyBucketMap(),
    leaders: emptyBucketMap(),
    followers: emptyBucketMap(),
    waiting: emptyBucketMap(),
    proven: emptyBucketMap(),
    provenBefore: emptyBucketMap(),
    known: new Map(),
    ownCrashes: new Map(),
    crashedAtMs: new Map(),
  },
  reduce: reduceSuspects,
};

function reduceSuspects(
  state: SuspectsState,
  event: SuspectsEvent | SharedEvent,
): SuspectsStep {
  switch (event.type) {
    case 'request.received':
      return enter(state, event.request, event);
    case 'attempt.started':
      return noteTarget(state, event);
    case 'attempt.firstToken': {
      const flight = getEntry(state.flights, event.requestId);
      return flight === undefined || flight.phase === 'trial'
        ? unchanged(state)
        : prove(state, flight.request.fingerprint, event);
    }
    case 'request.suspected':
      return suspect(state, event);
    case 'request.ended':
      return end(state, event);
    case 'suspects.judged':
      return judge(state, event);
    case 'suspects.learned':
      return { state: learn(state, event), effects: [] };
    case 'clock.ticked':
      return askWaiting(state, event);
    default:
      return unchanged(state);
  }
}

/** Lets a request in, refuses it, or has it judged first. */
function enter(
  state: SuspectsState,
  request: RequestInfo,
  event: EventBase,
): SuspectsStep {
  const known = state.known.get(request.fingerprint);
  if (known === undefined || known.untilMs <= event.atMs) {
    return admit(state, request, event);
  }
  return known.blocked
    ? {
        state,
        effects: [refuse(event, request.requestId, known.untilMs - event.atMs)],
      }
    : askForTrial(state, request);
}

/** Acts on a verdict; one that comes too late gives the trial back. */
function judge(
  state: SuspectsState,
  event: Extract<SuspectsEvent, { readonly type: 'suspects.judged' }>,
): SuspectsStep {
  const { requestId, fingerprint, verdict } = event;
  const flight = getEntry(state.flights, requestId);
  if (flight?.phase === 'asking') {
    return applyVerdict(state, flight, { event, verdict });
  }
  return flight === undefined && verdict.type === 'trial'
    ? { state, effects: [release(requestId, fingerprint)] }
    : unchanged(state);
}

function release(requestId: string, fingerprint: string): SuspectsEffect {
  const report = { type: 'released', fingerprint, token: requestId } as const;
  return { type: 'suspects.announce', requestId, report };
}

function noteTarget(
  state: SuspectsState,
  event: Extract<SharedEvent, { readonly type: 'attempt.started' }>,
): SuspectsStep {
  const flight = getEntry(state.flights, event.requestId);
  return flight === undefined
    ? unchanged(state)
    : keep(state, { ...flight, targetId: event.targetId });
}

/** An answered request proves its fingerprint; a trial clears it or is over. */
function end(
  state: SuspectsState,
  event: Extract<SharedEvent, { readonly type: 'request.ended' }>,
): SuspectsStep {
  const flight = getEntry(state.flights, event.requestId);
  if (flight === undefined) return unchanged(state);
  const { requestId, fingerprint } = flight.request;
  const isAnswered = event.end.type === 'answered';
  const isTrial = flight.phase === 'trial';
  const cleared = isAnswered && isTrial ? clearOwn(state, fingerprint) : state;
  return chainSteps(cleared, [
    (current) => ({
      state: current,
      effects: isTrial ? [endTrial(requestId, fingerprint, isAnswered)] : [],
    }),
    (current) =>
      isAnswered ? prove(current, fingerprint, event) : unchanged(current),
    (current) =>
      forget(current, flight, (next, request) => enter(next, request, event)),
  ]);
}

function endTrial(
  requestId: string,
  fingerprint: string,
  isAnswered: boolean,
): SuspectsEffect {
  return isAnswered
    ? {
        type: 'suspects.announce',
        requestId,
        report: { type: 'cleared', fingerprint },
      }
    : release(requestId, fingerprint);
}

function clearOwn(state: SuspectsState, fingerprint: string): SuspectsState {
  const ownCrashes = new Map(state.ownCrashes);
  ownCrashes.delete(fingerprint);
  const known = new Map(state.known);
  known.delete(fingerprint);
  return { ...state, ownCrashes, known };
}

function learn(
  state: SuspectsState,
  event: Extract<SuspectsEvent, { readonly type: 'suspects.learned' }>,
): SuspectsState {
  const known = event.suspects.map(
    ({ fingerprint, blocked, crashes, remainingMs }) =>
      [
        fingerprint,
        { fingerprint, blocked, crashes, untilMs: event.atMs + remainingMs },
      ] as const,
  );
  return { ...state, known: new Map(known) };
}
