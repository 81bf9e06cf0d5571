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
import {
  raiseEffect,
  refusalEffect,
  trackRequest,
  updateTrackedRequest,
} from './trackedRequests.ts';
import type {
  TrackedRequest,
  SuspectsEffect,
  SuspectsState,
  SuspectsStep,
} from './types.ts';

/**
 * Shortest time before a waiting suspect requests a trial again; jitter adds up
 * to the same time again.
 */
const TRIAL_RETRY_MS = 500;

/**
 * Number of targets that crash within {@link SAME_CRASH_WINDOW_MS} of each other from
 * which the crashes are not attributed to a request.
 */
const MASS_CRASH_MIN_TARGETS = 4;

/** Most fingerprints whose crashes this entry counts locally. */
const MAX_LOCAL_CRASH_COUNTS = 1_000;

/**
 * Reports that a target crashed while it ran a request, and waits for a verdict
 * on the request.
 *
 * @param state - State of the slice.
 * @param event - The crash.
 * @returns The step that reports the crash, or that retries at once in a mass
 * crash.
 */
export function reportCrash(
  state: SuspectsState,
  event: Extract<SharedEvent, { readonly type: 'request.suspected' }>,
): SuspectsStep {
  const tracked = getEntry(state.trackedRequests, event.requestId);
  if (tracked === undefined) return unchanged(state);
  const recorded = recordCrash(state, tracked, event);
  if (isMassCrash(recorded, event.atMs)) {
    return event.wantsRetry
      ? startTrial(recorded, tracked, event)
      : unchanged(recorded);
  }
  const { fingerprint } = tracked.request;
  const report: SuspectReport = {
    type: 'crash',
    fingerprint,
    targetId: event.targetId,
    token: event.requestId,
    wantsTrial: event.wantsRetry,
  };
  return updateTrackedRequest(
    recorded,
    { ...tracked, phase: 'awaitingVerdict' },
    [reportEffect(tracked, report)],
  );
}

/**
 * Requests a trial for a new request whose fingerprint is already suspected.
 *
 * @param state - State of the slice.
 * @param request - The request, not yet sent to routing.
 * @returns The step that requests the trial.
 */
export function requestTrialForNew(
  state: SuspectsState,
  request: TrackedRequest['request'],
): SuspectsStep {
  return requestTrial(state, trackRequest(request, 'awaitingVerdict'));
}

/**
 * Applies the verdict on a suspect request.
 *
 * While the store is down, the crashes that this entry counted decide.
 *
 * @param state - State of the slice.
 * @param tracked - The request.
 * @param options - The event and the verdict.
 * @returns The step that runs the request, refuses it or makes it wait.
 */
export function applyVerdict(
  state: SuspectsState,
  tracked: TrackedRequest,
  options: {
    readonly event: EventBase;
    readonly verdict: SuspectVerdict | { readonly type: 'storeDown' };
  },
): SuspectsStep {
  const { event, verdict } = options;
  const { requestId, fingerprint } = tracked.request;
  switch (verdict.type) {
    case 'trial':
      return startTrial(state, tracked, event);
    case 'wait':
      return updateTrackedRequest(state, {
        ...tracked,
        phase: 'waiting',
        dueAtMs: event.atMs + TRIAL_RETRY_MS * (1 + event.random),
      });
    case 'blocked':
      return blockFingerprint(state, fingerprint, {
        event,
        forMs: verdict.forMs,
      });
    case 'storeDown':
      return (state.localCrashCounts.get(fingerprint) ?? 0) >= 2
        ? {
            state,
            effects: [refusalEffect(event, requestId, SUSPECT_TTL_MS)],
          }
        : startTrial(state, tracked, event);
  }
}

/**
 * Requests a trial again for every waiting suspect that is due.
 *
 * @param state - State of the slice.
 * @param event - The clock tick.
 * @returns The step.
 */
export function retryWaiting(
  state: SuspectsState,
  event: EventBase,
): SuspectsStep {
  if (state.waiting.size === 0) return unchanged(state);
  const due = bucketValues(state.trackedRequests).filter(
    ({ phase, dueAtMs }) => phase === 'waiting' && dueAtMs <= event.atMs,
  );
  return chainSteps(
    state,
    due.map(
      (tracked) => (current: SuspectsState) => requestTrial(current, tracked),
    ),
  );
}

/**
 * Blocks a fingerprint and refuses its requests that wait. Requests already in
 * flight go on.
 */
function blockFingerprint(
  state: SuspectsState,
  fingerprint: string,
  options: { readonly event: EventBase; readonly forMs: number },
): SuspectsStep {
  const { event, forMs } = options;
  const untilMs = event.atMs + forMs;
  const known = new Map(state.known);
  const crashes = known.get(fingerprint)?.crashes ?? 0;
  known.set(fingerprint, { fingerprint, blocked: true, crashes, untilMs });
  const refused = bucketValues(state.trackedRequests).filter(
    ({ request, phase }) =>
      request.fingerprint === fingerprint &&
      ['following', 'awaitingVerdict', 'waiting'].includes(phase),
  );
  return {
    state: { ...state, known },
    effects: refused.map(({ request }) =>
      refusalEffect(event, request.requestId, forMs),
    ),
  };
}

function requestTrial(
  state: SuspectsState,
  tracked: TrackedRequest,
): SuspectsStep {
  const { requestId, fingerprint } = tracked.request;
  const report = { type: 'wantTrial', fingerprint, token: requestId } as const;
  return updateTrackedRequest(state, { ...tracked, phase: 'awaitingVerdict' }, [
    reportEffect(tracked, report),
  ]);
}

/** Runs a suspect; a retry avoids the targets on which other trials run. */
function startTrial(
  state: SuspectsState,
  tracked: TrackedRequest,
  event: EventBase,
): SuspectsStep {
  const { request } = tracked;
  const { requestId } = request;
  const avoidedTargetIds = bucketValues(state.trackedRequests).flatMap(
    (other) =>
      other.phase === 'trial' && other.targetId !== undefined
        ? [other.targetId]
        : [],
  );
  const trial: TrackedRequest = {
    ...tracked,
    phase: 'trial',
    sentToRouting: true,
    targetId: undefined,
  };
  return updateTrackedRequest(state, trial, [
    tracked.sentToRouting
      ? raiseEffect(event, {
          type: 'request.retryAllowed',
          requestId,
          avoidedTargetIds,
        })
      : raiseEffect(event, { type: 'request.arrived', request }),
  ]);
}

function reportEffect(
  tracked: TrackedRequest,
  report: SuspectReport,
): SuspectsEffect {
  const { requestId } = tracked.request;
  return { type: 'suspects.announce', requestId, report };
}

function recordCrash(
  state: SuspectsState,
  tracked: TrackedRequest,
  event: EventBase & { readonly targetId: string },
): SuspectsState {
  const { fingerprint } = tracked.request;
  const count = (state.localCrashCounts.get(fingerprint) ?? 0) + 1;
  const recent = [...state.lastCrashAtMs].filter(
    ([, atMs]) => event.atMs - atMs <= SAME_CRASH_WINDOW_MS,
  );
  const known = new Map(state.known);
  if (known.get(fingerprint)?.blocked !== true) {
    const untilMs = event.atMs + SUSPECT_TTL_MS;
    const crashes = Math.max(known.get(fingerprint)?.crashes ?? 0, count);
    known.set(fingerprint, { fingerprint, blocked: false, crashes, untilMs });
  }
  const localCrashCounts = new Map(
    [...state.localCrashCounts, [fingerprint, count] as const].slice(
      -MAX_LOCAL_CRASH_COUNTS,
    ),
  );
  return {
    ...state,
    known,
    localCrashCounts,
    knownGood: deleteEntry(state.knownGood, fingerprint),
    previousKnownGood: deleteEntry(state.previousKnownGood, fingerprint),
    lastCrashAtMs: new Map([...recent, [event.targetId, event.atMs]]),
  };
}

function isMassCrash(state: SuspectsState, nowMs: number): boolean {
  const recent = [...state.lastCrashAtMs.values()].filter(
    (atMs) => nowMs - atMs <= SAME_CRASH_WINDOW_MS,
  );
  return recent.length >= MASS_CRASH_MIN_TARGETS;
}
