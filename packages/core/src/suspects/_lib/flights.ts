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

/** Proven fingerprints in one generation. */
const MAX_PROVEN = 4_096;

/**
 * Keeps a request as it stands now, with effects.
 *
 * @param state - State of the slice.
 * @param flight - The request.
 * @param effects - Effects of the step.
 * @returns The step.
 */
export function keep(
  state: SuspectsState,
  flight: TrackedRequest,
  effects: SuspectsStep['effects'] = [],
): SuspectsStep {
  const { requestId } = flight.request;
  const waiting =
    flight.phase === 'waiting'
      ? setEntry(state.waiting, requestId, true as const)
      : deleteEntry(state.waiting, requestId);
  const flights = setEntry(state.flights, requestId, flight);
  return { state: { ...state, flights, waiting }, effects };
}

/**
 * Returns the effect that raises an event of a request.
 *
 * @param cause - The event whose time and random number it takes.
 * @param event - The event to raise.
 * @returns The effect.
 */
export function raise(cause: EventBase, event: RequestEvent): RaiseEffect {
  return {
    type: 'raise',
    event: { atMs: cause.atMs, random: cause.random, ...event },
  };
}

/**
 * Returns the effect that refuses a suspect.
 *
 * @param cause - The event that causes it.
 * @param requestId - The request.
 * @param forMs - Time for which it stays refused.
 * @returns The effect.
 */
export function refuse(
  cause: EventBase,
  requestId: string,
  forMs: number,
): RaiseEffect {
  return raise(cause, {
    type: 'request.refused',
    requestId,
    reason: 'suspect',
    retryAfterMs: forMs,
  });
}

/**
 * Lets a request in that nobody suspects.
 *
 * Of several with one fingerprint that has never answered, one leads and the
 * others wait for its first token, so that a request that crashes targets
 * takes one target of this entry at a time.
 *
 * @param state - State of the slice.
 * @param request - The request.
 * @param event - Its arrival.
 * @returns The step that lets it in or makes it wait.
 */
export function admit(
  state: SuspectsState,
  request: RequestInfo,
  event: EventBase,
): SuspectsStep {
  const { fingerprint, requestId } = request;
  if (isProven(state, fingerprint)) {
    return letIn(state, flightOf(request, 'free'), event);
  }
  if (getEntry(state.leaders, fingerprint) !== undefined) {
    const ids = [...(getEntry(state.followers, fingerprint) ?? []), requestId];
    const followers = setEntry(state.followers, fingerprint, ids);
    return keep({ ...state, followers }, flightOf(request, 'following'));
  }
  const leaders = setEntry(state.leaders, fingerprint, requestId);
  return letIn({ ...state, leaders }, flightOf(request, 'leading'), event);
}

/**
 * Notes that a fingerprint answers, and lets in those that waited for it.
 *
 * @param state - State of the slice.
 * @param fingerprint - The fingerprint.
 * @param event - The first token or the end.
 * @returns The step.
 */
export function prove(
  state: SuspectsState,
  fingerprint: string,
  event: EventBase,
): SuspectsStep {
  if (isProven(state, fingerprint)) return unchanged(state);
  const isFull = state.proven.size >= MAX_PROVEN;
  const next: SuspectsState = {
    ...state,
    proven: setEntry(
      isFull ? emptyBucketMap<true>() : state.proven,
      fingerprint,
      true,
    ),
    provenBefore: isFull ? state.proven : state.provenBefore,
    leaders: deleteEntry(state.leaders, fingerprint),
    followers: deleteEntry(state.followers, fingerprint),
  };
  const released = followersOf(state, fingerprint).map(
    (flight) => (current: SuspectsState) =>
      letIn(current, { ...flight, phase: 'free' }, event),
  );
  return chainSteps(next, released);
}

/**
 * Forgets a request that has ended; another takes its lead.
 *
 * @param state - State of the slice.
 * @param flight - The request.
 * @param enter - Lets in the request that was next in line.
 * @returns The step.
 */
export function forget(
  state: SuspectsState,
  flight: TrackedRequest,
  enter: (state: SuspectsState, request: RequestInfo) => SuspectsStep,
): SuspectsStep {
  const { requestId, fingerprint } = flight.request;
  const next: SuspectsState = {
    ...state,
    flights: deleteEntry(state.flights, requestId),
    waiting: deleteEntry(state.waiting, requestId),
  };
  if (getEntry(state.leaders, fingerprint) !== requestId) {
    return { state: next, effects: [] };
  }
  const [successor, ...rest] = followersOf(next, fingerprint);
  const restIds = rest.map((other) => other.request.requestId);
  const leaderless: SuspectsState = {
    ...next,
    leaders: deleteEntry(state.leaders, fingerprint),
    followers:
      restIds.length === 0
        ? deleteEntry(state.followers, fingerprint)
        : setEntry(state.followers, fingerprint, restIds),
  };
  return successor === undefined
    ? { state: leaderless, effects: [] }
    : enter(leaderless, successor.request);
}

/**
 * Lists the requests that wait for the leading one of their fingerprint.
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
    const flight = getEntry(state.flights, requestId);
    return flight?.phase === 'following' ? [flight] : [];
  });
}

/**
 * Returns a request that routing does not know yet.
 *
 * @param request - The request.
 * @param phase - Where it stands.
 * @returns The request as this slice sees it.
 */
export function flightOf(
  request: RequestInfo,
  phase: TrackedRequest['phase'],
): TrackedRequest {
  return { request, phase, arrived: false, targetId: undefined, nextAtMs: 0 };
}

function letIn(
  state: SuspectsState,
  flight: TrackedRequest,
  event: EventBase,
): SuspectsStep {
  const { request } = flight;
  return keep(state, { ...flight, arrived: true }, [
    raise(event, { type: 'request.arrived', request }),
  ]);
}

function isProven(state: SuspectsState, fingerprint: string): boolean {
  return (
    getEntry(state.proven, fingerprint) === true ||
    getEntry(state.provenBefore, fingerprint) === true
  );
}
