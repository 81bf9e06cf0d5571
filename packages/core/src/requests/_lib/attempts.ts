import type { EventBase, SharedEvent } from '../../events/index.ts';
import { SETTLE_GRACE_MS } from '../../once/_lib/constants.ts';
import { getEntry } from '../../bucketMap/index.ts';
import { unchanged } from '../../step/index.ts';
import { queryAttempt, withProgress } from './attemptQueries.ts';
import { closeRequest, needsClaim, storeRequest } from './closeRequest.ts';
import { ranOfAttempt } from './ran.ts';
import { retryOrEnd } from './retry.ts';
import { retryBudgetKeys, creditRetries } from './retryBudget.ts';
import type {
  Destination,
  OpenAttempt,
  OpenRequest,
  RequestsState,
  RequestsStep,
} from './types.ts';

type EventOf<Type extends SharedEvent['type']> = Extract<
  SharedEvent,
  { readonly type: Type }
>;

/**
 * Sends a request to the target that routing has chosen, or first requests a
 * claim if the call may not be repeated.
 *
 * @param state - State of the slice.
 * @param event - The dispatch.
 * @returns The step that starts an attempt or requests a claim.
 */
export function startAttempt(
  state: RequestsState,
  event: EventOf<'request.dispatched'>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined || request.attempt !== undefined) {
    return unchanged(state);
  }
  if (request.claimDestination !== undefined) return unchanged(state);
  const destination: Destination = {
    targetId: event.targetId,
    reservationId: event.reservationId,
  };
  return needsClaim(request)
    ? requestClaim(state, { ...request, claimDestination: destination }, event)
    : sendAttempt(state, request, { event, destination });
}

/**
 * Sends a call whose claim was granted.
 *
 * @param state - State of the slice.
 * @param event - The grant.
 * @returns The step that starts the attempt.
 */
export function sendClaimed(
  state: RequestsState,
  event: EventOf<'request.claimGranted'>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request?.claimDestination === undefined) return unchanged(state);
  const granted = { ...request, claimDestination: undefined };
  return sendAttempt(state, granted, {
    event,
    destination: request.claimDestination,
  });
}

function requestClaim(
  state: RequestsState,
  request: OpenRequest,
  event: EventOf<'request.dispatched'>,
): RequestsStep {
  return {
    state: storeRequest(state, request),
    effects: [
      {
        type: 'raise',
        event: {
          type: 'request.claimWanted',
          atMs: event.atMs,
          random: event.random,
          request: request.info,
          targetId: event.targetId,
        },
      },
    ],
  };
}

function sendAttempt(
  state: RequestsState,
  request: OpenRequest,
  options: { readonly event: EventBase; readonly destination: Destination },
): RequestsStep {
  const { event, destination } = options;
  const { targetId, reservationId } = destination;
  const { requestId, deadlineAtMs } = request.info;
  const attempts = request.attempts + 1;
  const attemptId = `${requestId}.${attempts}`;
  const attempt: OpenAttempt = {
    attemptId,
    targetId,
    failedQueries: 0,
    isQuerying: false,
    cut: false,
    resumes: 0,
  };
  const settleGraceMs = needsClaim(request) ? SETTLE_GRACE_MS : 0;
  const retryBudgets =
    attempts > 1
      ? state.retryBudgets
      : creditRetries(
          state.retryBudgets,
          retryBudgetKeys(request.info.workspace, targetId),
          event.atMs,
        );
  return {
    state: storeRequest(
      { ...state, retryBudgets },
      { ...request, attempts, attempt, outputTokens: 0 },
    ),
    effects: [
      {
        type: 'requests.send',
        requestId,
        attemptId,
        targetId,
        timeoutMs: deadlineAtMs - event.atMs + settleGraceMs,
        reservationId,
      },
      {
        type: 'raise',
        event: {
          type: 'attempt.started',
          atMs: event.atMs,
          random: event.random,
          requestId,
          attemptId,
          targetId,
        },
      },
    ],
  };
}

/**
 * Records that the first token of an attempt has arrived.
 *
 * @param state - State of the slice.
 * @param event - The first token.
 * @returns The step that records it.
 */
export function recordFirstToken(
  state: RequestsState,
  event: EventOf<'attempt.firstToken'>,
): RequestsStep {
  const request = requestOfAttempt(state, event);
  if (request === undefined) return unchanged(state);
  const outputTokens = Math.max(1, request.outputTokens);
  return {
    state: storeRequest(state, { ...request, outputTokens, ran: 'yes' }),
    effects: [],
  };
}

/**
 * Ends a request whose attempt answered. Otherwise queries the attempt's
 * status, retries the request or ends it.
 *
 * @param state - State of the slice.
 * @param event - How the attempt ended.
 * @returns The step that follows.
 */
export function handleAttemptEnded(
  state: RequestsState,
  event: EventOf<'attempt.ended'>,
): RequestsStep {
  const found = requestOfAttempt(state, event);
  if (found === undefined) return unchanged(state);
  const request = withProgress(found, event.outputTokens);
  const { outputTokens } = request;
  const ended = { ...request, attempt: undefined };
  if (event.end.type === 'done') {
    return closeRequest(state, ended, {
      event,
      ran: 'yes',
      end: { type: 'answered' },
    });
  }
  const ran = ranOfAttempt({ ...event, outputTokens });
  if (mayStillRun(state, event) && ran !== 'no') {
    return queryAttempt(state, request, { event, cut: true });
  }
  const crashed =
    event.end.type === 'cut' && event.sent ? event.targetId : undefined;
  const reason = event.end.type;
  return retryOrEnd(state, request, { event, ran, reason, crashed });
}

/**
 * Finds the request whose open attempt an event is about.
 *
 * @param state - State of the slice.
 * @param event - An event of an attempt.
 * @returns The request, or undefined when the attempt is not the open one.
 */
export function requestOfAttempt(
  state: RequestsState,
  event: { readonly requestId: string; readonly attemptId: string },
): OpenRequest | undefined {
  const request = getEntry(state.open, event.requestId);
  return request?.attempt?.attemptId === event.attemptId ? request : undefined;
}

/**
 * Whether an engine may still run the attempt after its connection was lost.
 */
function mayStillRun(
  state: RequestsState,
  event: EventOf<'attempt.ended'>,
): boolean {
  return (
    !state.serviceTargetIds.has(event.targetId) &&
    ['cut', 'timedOut', 'crossed'].includes(event.end.type)
  );
}
