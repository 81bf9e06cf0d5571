import { emptyBucketMap, getEntry } from '../bucketMap/index.ts';
import type { SharedEvent } from '../events/index.ts';
import type { RequestInfo } from '../request/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';
import { judgeReport, ask } from './_lib/asks.ts';
import {
  endAttempt,
  noteFirstToken,
  requestOfAttempt,
  sendGranted,
  startAttempt,
} from './_lib/attempts.ts';
import { endUnclaimed, noteContention } from './_lib/claims.ts';
import { close, keep } from './_lib/close.ts';
import { retryAllowed, retryAnywhere } from './_lib/retry.ts';
import { checkDeadlines, ranSoFar } from './_lib/ticks.ts';
import type {
  OpenRequest,
  RequestsEffect,
  RequestsState,
  RequestsStep,
} from './_lib/types.ts';

export type {
  OpenAttempt,
  OpenRequest,
  RequestsEffect,
  RequestsState,
} from './_lib/types.ts';
export { DEADLINE_MARGIN_MS } from './_lib/ticks.ts';
export { ASK_TIMEOUT_MS } from './_lib/asks.ts';

/**
 * Leads each request from its arrival to exactly one end.
 *
 * Starts attempts at the targets that routing chooses, asks about silent or
 * cut ones on a new connection, resumes or repeats them where that is allowed,
 * and tells the caller at the deadline at the latest.
 */
export const requestsSlice: Slice<RequestsState, never, RequestsEffect> = {
  initial: {
    open: emptyBucketMap(),
    serviceTargetIds: new Set(),
    retryBudgets: emptyBucketMap(),
  },
  reduce: reduceRequests,
};

function reduceRequests(
  state: RequestsState,
  event: SharedEvent,
): RequestsStep {
  switch (event.type) {
    case 'request.received':
      return { state: keep(state, openRequest(event.request)), effects: [] };
    case 'request.dispatched':
      return startAttempt(state, event);
    case 'request.claimGranted':
      return sendGranted(state, event);
    case 'request.claimContended':
      return noteContention(state, event);
    case 'request.claimRefused':
      return endUnclaimed(state, event);
    case 'request.refused':
      return endRefused(state, event);
    case 'request.retryAllowed':
      return retryAllowed(state, event);
    case 'request.callerGone':
      return endUnwanted(state, event);
    case 'attempt.firstToken':
      return noteFirstToken(state, event);
    case 'attempt.silent':
      return askAboutSilence(state, event);
    case 'attempt.reported': {
      const request = requestOfAttempt(state, event);
      return request === undefined
        ? unchanged(state)
        : judgeReport(state, request, event);
    }
    case 'attempt.ended':
      return endAttempt(state, event);
    case 'clock.ticked':
      return checkDeadlines(state, event);
    case 'targets.changed':
      return noteServices(state, event);
    default:
      return unchanged(state);
  }
}

function openRequest(info: RequestInfo): OpenRequest {
  return {
    info,
    attempts: 0,
    lostAttempts: 0,
    attempt: undefined,
    claimFor: undefined,
    ran: 'no',
    outputTokens: 0,
    excludedTargetIds: [],
    retryAtMs: undefined,
  };
}

function endRefused(
  state: RequestsState,
  event: Extract<SharedEvent, { type: 'request.refused' }>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined) return unchanged(state);
  const { reason, retryAfterMs } = event;
  if (reason === 'targetsRefused' && request.lostAttempts > 0) {
    return retryAnywhere(state, request, event);
  }
  const ran = ranSoFar(request);
  return close(state, request, {
    event,
    ran,
    end:
      ran === 'no'
        ? { type: 'refused', reason, retryAfterMs }
        : { type: 'failed', reason: `no further attempt: ${reason}` },
  });
}

/** Ends a request without a caller, unless its outcome must be learnt. */
function endUnwanted(
  state: RequestsState,
  event: Extract<SharedEvent, { type: 'request.callerGone' }>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined) return unchanged(state);
  if (!request.info.repeatable && request.attempt !== undefined) {
    return unchanged(state);
  }
  const ran = ranSoFar(request);
  return close(state, request, {
    event,
    ran,
    end:
      ran === 'no'
        ? { type: 'refused', reason: 'callerGone', retryAfterMs: undefined }
        : { type: 'failed', reason: 'caller gone' },
  });
}

function askAboutSilence(
  state: RequestsState,
  event: Extract<SharedEvent, { type: 'attempt.silent' }>,
): RequestsStep {
  const request = requestOfAttempt(state, event);
  if (request?.attempt === undefined) return unchanged(state);
  if (state.serviceTargetIds.has(request.attempt.targetId)) {
    return unchanged(state);
  }
  const outputTokens = Math.max(request.outputTokens, event.outputTokens);
  return ask(state, { ...request, outputTokens }, { event, cut: false });
}

function noteServices(
  state: RequestsState,
  event: Extract<SharedEvent, { type: 'targets.changed' }>,
): RequestsStep {
  const services = event.targets.filter((t) => t.targetKind === 'service');
  return {
    state: {
      ...state,
      serviceTargetIds: new Set(services.map((t) => t.targetId)),
    },
    effects: [],
  };
}
