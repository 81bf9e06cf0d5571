import {
  deleteEntry,
  emptyBucketMap,
  getEntry,
  setEntry,
} from '../../bucketMap/index.ts';
import { chainSteps } from '../../chainSteps/index.ts';
import type { EventBase, RequestEvent } from '../../events/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import { unchanged } from '../../step/index.ts';
import type { TrackedRequest, SuspectsState, SuspectsStep } from './types.ts';

/** Most known-good fingerprints kept in one generation. */
const MAX_KNOWN_GOOD = 4_096;

/**
 * Stores a new version of a tracked request in the state.
 *
 * @param state - State of the slice.
 * @param tracked - The request to store.
 * @param effects - Effects of the step.
 * @returns The step with the request stored.
 */
export function updateTrackedRequest(
  state: SuspectsState,
  tracked: TrackedRequest,
  effects: SuspectsStep['effects'] = [],
): SuspectsStep {
  const { requestId } = tracked.request;
  const waiting =
    tracked.phase === 'waiting'
      ? setEntry(state.waiting, requestId, true as const)
      : deleteEntry(state.waiting, requestId);
  const trackedRequests = setEntry(state.trackedRequests, requestId, tracked);
  return {
    state: { ...state, trackedRequests, waiting },
    effects,
  };
}

/**
 * Returns the effect that raises a request event.
 *
 * @param cause - The event whose time and random number are reused.
 * @param event - The event to raise.
 * @returns The effect.
 */
export function raiseEffect(
  cause: EventBase,
  event: RequestEvent,
): RaiseEffect {
  return {
    type: 'raise',
    event: { atMs: cause.atMs, random: cause.random, ...event },
  };
}

/**
 * Returns the effect that refuses a suspect request.
 *
 * @param cause - The event that caused the refusal.
 * @param requestId - Id of the request.
 * @param blockedForMs - Time for which its fingerprint stays refused.
 * @returns The effect.
 */
export function refusalEffect(
  cause: EventBase,
  requestId: string,
  blockedForMs: number,
): RaiseEffect {
  return raiseEffect(cause, {
    type: 'request.refused',
    requestId,
    reason: 'suspect',
    retryAfterMs: blockedForMs,
  });
}

/**
 * Admits a request whose fingerprint is not suspected.
 *
 * Among requests with a fingerprint that is not known to be good, only the
 * first is sent on; the others wait for its first token. A request that crashes
 * targets can therefore take down only one target of this entry at a time.
 *
 * @param state - State of the slice.
 * @param request - The request.
 * @param event - The arrival of the request.
 * @returns The step that sends the request to routing or makes it wait.
 */
export function admit(
  state: SuspectsState,
  request: RequestInfo,
  event: EventBase,
): SuspectsStep {
  const { fingerprint, requestId } = request;
  if (isKnownGood(state, fingerprint)) {
    return sendToRouting(state, trackRequest(request, 'unrestricted'), event);
  }
  if (getEntry(state.leaders, fingerprint) !== undefined) {
    const ids = [...(getEntry(state.followers, fingerprint) ?? []), requestId];
    const followers = setEntry(state.followers, fingerprint, ids);
    return updateTrackedRequest(
      { ...state, followers },
      trackRequest(request, 'following'),
    );
  }
  const leaders = setEntry(state.leaders, fingerprint, requestId);
  return sendToRouting(
    { ...state, leaders },
    trackRequest(request, 'leading'),
    event,
  );
}

/**
 * Marks a fingerprint as known to be good and sends the requests that waited
 * for it to routing.
 *
 * When a generation of known-good fingerprints is full, it replaces the
 * previous one and a new generation starts.
 *
 * @param state - State of the slice.
 * @param fingerprint - The fingerprint.
 * @param event - The first token or the end of a request with the fingerprint.
 * @returns The step.
 */
export function markKnownGood(
  state: SuspectsState,
  fingerprint: string,
  event: EventBase,
): SuspectsStep {
  if (isKnownGood(state, fingerprint)) return unchanged(state);
  const isFull = state.knownGood.size >= MAX_KNOWN_GOOD;
  const next: SuspectsState = {
    ...state,
    knownGood: setEntry(
      isFull ? emptyBucketMap<true>() : state.knownGood,
      fingerprint,
      true,
    ),
    previousKnownGood: isFull ? state.knownGood : state.previousKnownGood,
    leaders: deleteEntry(state.leaders, fingerprint),
    followers: deleteEntry(state.followers, fingerprint),
  };
  const resumed = followersOf(state, fingerprint).map(
    (tracked) => (current: SuspectsState) =>
      sendToRouting(current, { ...tracked, phase: 'unrestricted' }, event),
  );
  return chainSteps(next, resumed);
}

/**
 * Removes a request that has ended. If it was the leader of its fingerprint,
 * the first follower is admitted in its place.
 *
 * @param state - State of the slice.
 * @param tracked - The request.
 * @param admitNext - Admits the first follower.
 * @returns The step.
 */
export function removeTrackedRequest(
  state: SuspectsState,
  tracked: TrackedRequest,
  admitNext: (state: SuspectsState, request: RequestInfo) => SuspectsStep,
): SuspectsStep {
  const { requestId, fingerprint } = tracked.request;
  const next: SuspectsState = {
    ...state,
    trackedRequests: deleteEntry(state.trackedRequests, requestId),
    waiting: deleteEntry(state.waiting, requestId),
  };
  if (getEntry(state.leaders, fingerprint) !== requestId) {
    return { state: next, effects: [] };
  }
  const [successor, ...rest] = followersOf(next, fingerprint);
  const restIds = rest.map((other) => other.request.requestId);
  const withoutLeader: SuspectsState = {
    ...next,
    leaders: deleteEntry(state.leaders, fingerprint),
    followers:
      restIds.length === 0
        ? deleteEntry(state.followers, fingerprint)
        : setEntry(state.followers, fingerprint, restIds),
  };
  return successor === undefined
    ? { state: withoutLeader, effects: [] }
    : admitNext(withoutLeader, successor.request);
}

/**
 * Lists the requests that wait for the leader of their fingerprint.
 *
 * @param state - State of the slice.
 * @param fingerprint - The fingerprint.
 * @returns The waiting requests.
 */
export function followersOf(
  state: SuspectsState,
  fingerprint: string,
): readonly TrackedRequest[] {
  const ids = getEntry(state.followers, fingerprint) ?? [];
  return ids.flatMap((requestId) => {
    const tracked = getEntry(state.trackedRequests, requestId);
    return tracked?.phase === 'following' ? [tracked] : [];
  });
}

/**
 * Returns the tracked form of a request that is not yet sent to routing.
 *
 * @param request - The request.
 * @param phase - Its phase.
 * @returns The tracked request.
 */
export function trackRequest(
  request: RequestInfo,
  phase: TrackedRequest['phase'],
): TrackedRequest {
  return {
    request,
    phase,
    sentToRouting: false,
    targetId: undefined,
    dueAtMs: 0,
  };
}

function sendToRouting(
  state: SuspectsState,
  tracked: TrackedRequest,
  event: EventBase,
): SuspectsStep {
  const { request } = tracked;
  return updateTrackedRequest(state, { ...tracked, sentToRouting: true }, [
    raiseEffect(event, { type: 'request.arrived', request }),
  ]);
}

function isKnownGood(state: SuspectsState, fingerprint: string): boolean {
  return (
    getEntry(state.knownGood, fingerprint) === true ||
    getEntry(state.previousKnownGood, fingerprint) === true
  );
}
