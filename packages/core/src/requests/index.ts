import { emptyBucketMap, getEntry } from '../bucketMap/index.ts';
import type { SharedEvent } from '../events/index.ts';
import type { RequestInfo } from '../request/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';
import {
  handleAttemptReport,
  queryAttempt,
  withProgress,
} from './_lib/attemptQueries.ts';
import {
  handleAttemptEnded,
  recordFirstToken,
  requestOfAttempt,
  sendClaimed,
  startAttempt,
} from './_lib/attempts.ts';
import { handleClaimRefused, handleClaimContended } from './_lib/claims.ts';
import { closeRequest, storeRequest } from './_lib/closeRequest.ts';
import { handleRetryAllowed, retryAnyTargetLater } from './_lib/retry.ts';
import { handleTick, ranSoFar } from './_lib/handleTick.ts';
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
export { DEADLINE_MARGIN_MS } from './_lib/handleTick.ts';
export { QUERY_TIMEOUT_MS } from './_lib/attemptQueries.ts';

/**
 * Requests slice: the life cycle of each request, which ends exactly once.
 *
 * Starts attempts on the targets that routing chooses, queries the status of
 * silent or disconnected ones on a new connection, resumes or retries them
 * where that is allowed, and reports the result to the caller by the deadline.
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
      return {
        state: storeRequest(state, createOpenRequest(event.request)),
        effects: [],
      };
    case 'request.dispatched':
      return startAttempt(state, event);
    case 'request.claimGranted':
      return sendClaimed(state, event);
    case 'request.claimContended':
      return handleClaimContended(state, event);
    case 'request.claimRefused':
      return handleClaimRefused(state, event);
    case 'request.refused':
      return handleRefused(state, event);
    case 'request.retryAllowed':
      return handleRetryAllowed(state, event);
    case 'request.callerGone':
      return handleCallerGone(state, event);
    case 'attempt.firstToken':
      return recordFirstToken(state, event);
    case 'attempt.silent':
      return handleSilentAttempt(state, event);
    case 'attempt.reported': {
      const request = requestOfAttempt(state, event);
      return request === undefined
        ? unchanged(state)
        : handleAttemptReport(state, request, event);
    }
    case 'attempt.ended':
      return handleAttemptEnded(state, event);
    case 'clock.ticked':
      return handleTick(state, event);
    case 'targets.changed':
      return updateServiceTargets(state, event);
    default:
      return unchanged(state);
  }
}

function createOpenRequest(info: RequestInfo): OpenRequest {
  return {
    info,
    attempts: 0,
    lostAttempts: 0,
    attempt: undefined,
    claimDestination: undefined,
    ran: 'no',
    outputTokens: 0,
    excludedTargetIds: [],
    retryAtMs: undefined,
  };
}

function handleRefused(
  state: RequestsState,
  event: Extract<SharedEvent, { type: 'request.refused' }>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined) return unchanged(state);
  const { reason, retryAfterMs } = event;
  if (reason === 'targetsRefused' && request.lostAttempts > 0) {
    return retryAnyTargetLater(state, request, event);
  }
  const ran = ranSoFar(request);
  return closeRequest(state, request, {
    event,
    ran,
    end:
      ran === 'no'
        ? { type: 'refused', reason, retryAfterMs }
        : { type: 'failed', reason: `no further attempt: ${reason}` },
  });
}

/**
 * Ends a request whose caller has gone, unless it is a non-repeatable call with
 * an open attempt, whose outcome is still needed.
 */
function handleCallerGone(
  state: RequestsState,
  event: Extract<SharedEvent, { type: 'request.callerGone' }>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined) return unchanged(state);
  if (!request.info.repeatable && request.attempt !== undefined) {
    return unchanged(state);
  }
  const ran = ranSoFar(request);
  return closeRequest(state, request, {
    event,
    ran,
    end:
      ran === 'no'
        ? { type: 'refused', reason: 'callerGone', retryAfterMs: undefined }
        : { type: 'failed', reason: 'caller gone' },
  });
}

function handleSilentAttempt(
  state: RequestsState,
  event: Extract<SharedEvent, { type: 'attempt.silent' }>,
): RequestsStep {
  const request = requestOfAttempt(state, event);
  if (request?.attempt === undefined) return unchanged(state);
  if (state.serviceTargetIds.has(request.attempt.targetId)) {
    return unchanged(state);
  }
  return queryAttempt(state, withProgress(request, event.outputTokens), {
    event,
    cut: false,
  });
}

function updateServiceTargets(
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
