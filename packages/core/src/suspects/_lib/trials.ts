import { bucketValues, deleteEntry, getEntry } from '../../bucketMap/index.ts';
import { chainSteps } from '../../chainSteps/index.ts';
import type { EventBase, SharedEvent } from '../../events/index.ts';
import {
  SAME_CRASH_WINDOW_MS,
  SUSPECT_TTL_MS,
  type SuspectReport,
  type SuspectVerdict,
} from '../../applySuspectReport/index.ts';
import { unchanged } from '../../step/index.ts';
import { flightOf, keep, raise, refuse } from './flights.ts';
import type {
  TrackedRequest,
  SuspectsEffect,
  SuspectsState,
  SuspectsStep,
} from './types.ts';

/** Time after which a suspect that must wait asks again, jitter added. */
const ASK_AGAIN_MS = 500;

/** Targets that crash together beyond which no request is the cause. */
const MASS_CRASH_TARGETS = 4;

/** Fingerprints whose crashes this entry counts itself. */
const MAX_OWN_CRASHES = 1_000;

/**
 * Has a suspicion judged after a target crashed under a request.
 *
 * @param state - State of the slice.
 * @param event - The crash.
 * @returns The step that reports it, or retries at once in a mass crash.
 */
export function suspect(
  state: SuspectsState,
  event: Extract<SharedEvent, { readonly type: 'request.suspected' }>,
): SuspectsStep {
  const flight = getEntry(state.flights, event.requestId);
  if (flight === undefined) return unchanged(state);
  const noted = noteCrash(state, flight, event);
  if (isMassCrash(noted, event.atMs)) {
    return event.wantsRetry
      ? startTrial(noted, flight, event)
      : unchanged(noted);
  }
  const { fingerprint } = flight.request;
  const report: SuspectReport = {
    type: 'crash',
    fingerprint,
    targetId: event.targetId,
    token: event.requestId,
    wantsTrial: event.wantsRetry,
  };
  return keep(noted, { ...flight, phase: 'asking' }, [
    announce(flight, report),
  ]);
}

/**
 * Has a request judged that the fleet suspects already.
 *
 * @param state - State of the slice.
 * @param request - The request, not known to routing yet.
 * @returns The step that asks for a trial.
 */
export function askForTrial(
  state: SuspectsState,
  request: TrackedRequest['request'],
): SuspectsStep {
  return askAgain(state, flightOf(request, 'asking'));
}

/**
 * Acts on the judgement of a suspicion.
 *
 * @param state - State of the slice.
 * @param flight - The request.
 * @param options - The event and the verdict.
 * @returns The step that lets it run, refuses it or waits.
 */
export function applyVerdict(
  state: SuspectsState,
  flight: TrackedRequest,
  options: {
    readonly event: EventBase;
    readonly verdict: SuspectVerdict | { readonly type: 'storeDown' };
  },
): SuspectsStep {
  const { event, verdict } = options;
  const { requestId, fingerprint } = flight.request;
  switch (verdict.type) {
    case 'trial':
      return startTrial(state, flight, event);
    case 'wait':
      return keep(state, {
        ...flight,
        phase: 'waiting',
        nextAtMs: event.atMs + ASK_AGAIN_MS * (1 + event.random),
      });
    case 'blocked':
      return block(state, fingerprint, { event, forMs: verdict.forMs });
    case 'storeDown':
      return (state.ownCrashes.get(fingerprint) ?? 0) >= 2
        ? {
            state,
            effects: [refuse(event, requestId, SUSPECT_TTL_MS)],
          }
        : startTrial(state, flight, event);
  }
}

/**
 * Asks again for the suspects that had to wait.
 *
 * @param state - State of the slice.
 * @param event - The pulse.
 * @returns The step.
 */
export function askWaiting(
  state: SuspectsState,
  event: EventBase,
): SuspectsStep {
  if (state.waiting.size === 0) return unchanged(state);
  const due = bucketValues(state.flights).filter(
    ({ phase, nextAtMs }) => phase === 'waiting' && nextAtMs <= event.atMs,
  );
  return chainSteps(
    state,
    due.map((flight) => (current: SuspectsState) => askAgain(current, flight)),
  );
}

/** Refuses every open request with a blocked fingerprint, those in flight not. */
function block(
  state: SuspectsState,
  fingerprint: string,
  options: { readonly event: EventBase; readonly forMs: number },
): SuspectsStep {
  const { event, forMs } = options;
  const untilMs = event.atMs + forMs;
  const known = new Map(state.known);
  const crashes = known.get(fingerprint)?.crashes ?? 0;
  known.set(fingerprint, { fingerprint, blocked: true, crashes, untilMs });
  const stopped = bucketValues(state.flights).filter(
    ({ request, phase }) =>
      request.fingerprint === fingerprint &&
      ['following', 'asking', 'waiting'].includes(phase),
  );
  return {
    state: { ...state, known },
    effects: stopped.map(({ request }) =>
      refuse(event, request.requestId, forMs),
    ),
  };
}

function askAgain(state: SuspectsState, flight: TrackedRequest): SuspectsStep {
  const { requestId, fingerprint } = flight.request;
  const report = { type: 'wantTrial', fingerprint, token: requestId } as const;
  return keep(state, { ...flight, phase: 'asking' }, [
    announce(flight, report),
  ]);
}

/** Runs a suspect away from the targets that other suspects run on. */
function startTrial(
  state: SuspectsState,
  flight: TrackedRequest,
  event: EventBase,
): SuspectsStep {
  const { request } = flight;
  const { requestId } = request;
  const avoidedTargetIds = bucketValues(state.flights).flatMap((other) =>
    other.phase === 'trial' && other.targetId !== undefined
      ? [other.targetId]
      : [],
  );
  const trial: TrackedRequest = {
    ...flight,
    phase: 'trial',
    arrived: true,
    targetId: undefined,
  };
  return keep(state, trial, [
    flight.arrived
      ? raise(event, {
          type: 'request.retryAllowed',
          requestId,
          avoidedTargetIds,
        })
      : raise(event, { type: 'request.arrived', request }),
  ]);
}

function announce(
  flight: TrackedRequest,
  report: SuspectReport,
): SuspectsEffect {
  const { requestId } = flight.request;
  return { type: 'suspects.announce', requestId, report };
}

function noteCrash(
  state: SuspectsState,
  flight: TrackedRequest,
  event: EventBase & { readonly targetId: string },
): SuspectsState {
  const { fingerprint } = flight.request;
  const count = (state.ownCrashes.get(fingerprint) ?? 0) + 1;
  const recent = [...state.crashedAtMs].filter(
    ([, atMs]) => event.atMs - atMs <= SAME_CRASH_WINDOW_MS,
  );
  const known = new Map(state.known);
  if (known.get(fingerprint)?.blocked !== true) {
    const untilMs = event.atMs + SUSPECT_TTL_MS;
    const crashes = Math.max(known.get(fingerprint)?.crashes ?? 0, count);
    known.set(fingerprint, { fingerprint, blocked: false, crashes, untilMs });
  }
  const ownCrashes = new Map(
    [...state.ownCrashes, [fingerprint, count] as const].slice(
      -MAX_OWN_CRASHES,
    ),
  );
  return {
    ...state,
    known,
    ownCrashes,
    proven: deleteEntry(state.proven, fingerprint),
    provenBefore: deleteEntry(state.provenBefore, fingerprint),
    crashedAtMs: new Map([...recent, [event.targetId, event.atMs]]),
  };
}

function isMassCrash(state: SuspectsState, nowMs: number): boolean {
  const recent = [...state.crashedAtMs.values()].filter(
    (atMs) => nowMs - atMs <= SAME_CRASH_WINDOW_MS,
  );
  return recent.length >= MASS_CRASH_TARGETS;
}
