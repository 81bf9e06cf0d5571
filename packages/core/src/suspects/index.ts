import { emptyBucketMap, getEntry } from '../bucketMap/index.ts';
import { chainSteps } from '../chainSteps/index.ts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import type { RequestInfo } from '../request/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';
import {
  admit,
  removeTrackedRequest,
  updateTrackedRequest,
  markKnownGood,
  refusalEffect,
} from './_lib/trackedRequests.ts';
import {
  applyVerdict,
  requestTrialForNew,
  retryWaiting,
  reportCrash,
} from './_lib/trials.ts';
import type {
  SuspectsEffect,
  SuspectsEvent,
  SuspectsState,
  SuspectsStep,
} from './_lib/types.ts';

export type {
  TrackedRequest,
  TrackedRequestPhase,
  KnownSuspect,
  SuspectsEffect,
  SuspectsEvent,
  SuspectsState,
} from './_lib/types.ts';

/**
 * Limits how many targets one request can crash.
 *
 * The fingerprint of a request that was in flight when a target crashed is a
 * suspect. The request runs once more as a trial, on one entry of the fleet at
 * a time and apart from other suspects. A fingerprint that was in flight at
 * repeated crashes is refused by every entry.
 */
export const suspectsSlice: Slice<
  SuspectsState,
  SuspectsEvent,
  SuspectsEffect
> = {
  initial: {
    trackedRequests: emptyBucketMap(),
    leaders: emptyBucketMap(),
    followers: emptyBucketMap(),
    waiting: emptyBucketMap(),
    knownGood: emptyBucketMap(),
    previousKnownGood: emptyBucketMap(),
    known: new Map(),
    localCrashCounts: new Map(),
    lastCrashAtMs: new Map(),
  },
  reduce: reduceSuspects,
};

function reduceSuspects(
  state: SuspectsState,
  event: SuspectsEvent | SharedEvent,
): SuspectsStep {
  switch (event.type) {
    case 'request.received':
      return screenRequest(state, event.request, event);
    case 'attempt.started':
      return recordTarget(state, event);
    case 'attempt.firstToken': {
      const tracked = getEntry(state.trackedRequests, event.requestId);
      return tracked === undefined || tracked.phase === 'trial'
        ? unchanged(state)
        : markKnownGood(state, tracked.request.fingerprint, event);
    }
    case 'request.suspected':
      return reportCrash(state, event);
    case 'request.ended':
      return handleRequestEnd(state, event);
    case 'suspects.verdictReceived':
      return handleVerdict(state, event);
    case 'suspects.loaded':
      return { state: replaceKnownSuspects(state, event), effects: [] };
    case 'clock.ticked':
      return retryWaiting(state, event);
    default:
      return unchanged(state);
  }
}

/** Admits a request, refuses it, or requests a trial if it is a suspect. */
function screenRequest(
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
        effects: [
          refusalEffect(event, request.requestId, known.untilMs - event.atMs),
        ],
      }
    : requestTrialForNew(state, request);
}

/** Handles a verdict; releases a trial granted to a request that has ended. */
function handleVerdict(
  state: SuspectsState,
  event: Extract<SuspectsEvent, { readonly type: 'suspects.verdictReceived' }>,
): SuspectsStep {
  const { requestId, fingerprint, verdict } = event;
  const tracked = getEntry(state.trackedRequests, requestId);
  if (tracked?.phase === 'awaitingVerdict') {
    return applyVerdict(state, tracked, { event, verdict });
  }
  return tracked === undefined && verdict.type === 'trial'
    ? { state, effects: [releaseTrialEffect(requestId, fingerprint)] }
    : unchanged(state);
}

function releaseTrialEffect(
  requestId: string,
  fingerprint: string,
): SuspectsEffect {
  const report = { type: 'released', fingerprint, token: requestId } as const;
  return { type: 'suspects.announce', requestId, report };
}

function recordTarget(
  state: SuspectsState,
  event: Extract<SharedEvent, { readonly type: 'attempt.started' }>,
): SuspectsStep {
  const tracked = getEntry(state.trackedRequests, event.requestId);
  return tracked === undefined
    ? unchanged(state)
    : updateTrackedRequest(state, { ...tracked, targetId: event.targetId });
}

/**
 * Marks the fingerprint of an answered request as known to be good. A trial
 * clears its fingerprint when it was answered, and is released otherwise.
 */
function handleRequestEnd(
  state: SuspectsState,
  event: Extract<SharedEvent, { readonly type: 'request.ended' }>,
): SuspectsStep {
  const tracked = getEntry(state.trackedRequests, event.requestId);
  if (tracked === undefined) return unchanged(state);
  const { requestId, fingerprint } = tracked.request;
  const isAnswered = event.end.type === 'answered';
  const isTrial = tracked.phase === 'trial';
  const cleared =
    isAnswered && isTrial ? clearLocalSuspect(state, fingerprint) : state;
  return chainSteps(cleared, [
    (current) => ({
      state: current,
      effects: isTrial
        ? [endTrialEffect(requestId, fingerprint, isAnswered)]
        : [],
    }),
    (current) =>
      isAnswered
        ? markKnownGood(current, fingerprint, event)
        : unchanged(current),
    (current) =>
      removeTrackedRequest(current, tracked, (next, request) =>
        screenRequest(next, request, event),
      ),
  ]);
}

function endTrialEffect(
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
    : releaseTrialEffect(requestId, fingerprint);
}

function clearLocalSuspect(
  state: SuspectsState,
  fingerprint: string,
): SuspectsState {
  const localCrashCounts = new Map(state.localCrashCounts);
  localCrashCounts.delete(fingerprint);
  const known = new Map(state.known);
  known.delete(fingerprint);
  return { ...state, localCrashCounts, known };
}

function replaceKnownSuspects(
  state: SuspectsState,
  event: Extract<SuspectsEvent, { readonly type: 'suspects.loaded' }>,
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
