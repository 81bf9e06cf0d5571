import type { EventBase, SharedEvent } from '../../events/index.ts';
import { SETTLE_GRACE_MS } from '../../once/_lib/constants.ts';
import { getEntry } from '../../bucketMap/index.ts';
import { unchanged } from '../../step/index.ts';
import { ask } from './asks.ts';
import { close, isClaimed, keep } from './close.ts';
import { ranOfAttempt } from './ran.ts';
import { retryOrEnd } from './retry.ts';
import { budgetKeys, payRetries } from './retryBudget.ts';
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
 * Sends a request to the target that routing has chosen, or asks first for the
 * right to send a call that may not be repeated.
 *
 * @param state - State of the slice.
 * @param event - The choice.
 * @returns The step that starts an attempt or wants a claim.
 */
export function startAttempt(
  state: RequestsState,
  event: EventOf<'request.dispatched'>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined || request.attempt !== undefined) {
    return unchanged(state);
  }
  if (request.claimFor !== undefined) return unchanged(state);
  const destination: Destination = {
    targetId: event.targetId,
    reservationId: event.reservationId,
  };
  return isClaimed(request)
    ? wantClaim(state, { ...request, claimFor: destination }, event)
    : send(state, request, { event, destination });
}

/**
 * Sends a call that has been given the right to be sent.
 *
 * @param state - State of the slice.
 * @param event - The grant.
 * @returns The step that starts the attempt.
 */
export function sendGranted(
  state: RequestsState,
  event: EventOf<'request.claimGranted'>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request?.claimFor === undefined) return unchanged(state);
  const granted = { ...request, claimFor: undefined };
  return send(state, granted, { event, destination: request.claimFor });
}

function wantClaim(
  state: RequestsState,
  request: OpenRequest,
  event: EventOf<'request.dispatched'>,
): RequestsStep {
  return {
    state: keep(state, request),
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

function send(
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
    failedAsks: 0,
    asking: false,
    cut: false,
    resumes: 0,
  };
  const graceMs = isClaimed(request) ? SETTLE_GRACE_MS : 0;
  const retryBudgets =
    attempts > 1
      ? state.retryBudgets
      : payRetries(
          state.retryBudgets,
          budgetKeys(request.info.workspace, targetId),
          event.atMs,
        );
  return {
    state: keep(
      { ...state, retryBudgets },
      { ...request, attempts, attempt, outputTokens: 0 },
    ),
    effects: [
      {
        type: 'requests.send',
        requestId,
        attemptId,
        targetId,
        timeoutMs: deadlineAtMs - event.atMs + graceMs,
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
 * Notes that an attempt has begun to answer.
 *
 * @param state - State of the slice.
 * @param event - The milestone.
 * @returns The step that remembers it.
 */
export function noteFirstToken(
  state: RequestsState,
  event: EventOf<'attempt.firstToken'>,
): RequestsStep {
  const request = requestOfAttempt(state, event);
  if (request === undefined) return unchanged(state);
  const outputTokens = Math.max(1, request.outputTokens);
  return {
    state: keep(state, { ...request, outputTokens, ran: 'yes' }),
    effects: [],
  };
}

/**
 * Ends the request when its attempt answered; asks, retries or gives up when not.
 *
 * @param state - State of the slice.
 * @param event - How the attempt ended.
 * @returns The step that follows.
 */
export function endAttempt(
  state: RequestsState,
  event: EventOf<'attempt.ended'>,
): RequestsStep {
  const found = requestOfAttempt(state, event);
  if (found === undefined) return unchanged(state);
  const outputTokens = Math.max(found.outputTokens, event.outputTokens);
  const request = { ...found, outputTokens };
  const ended = { ...request, attempt: undefined };
  if (event.end.type === 'done') {
    return close(state, ended, {
      event,
      ran: 'yes',
      end: { type: 'answered' },
    });
  }
  const ran = ranOfAttempt({ ...event, outputTokens });
  if (mayStillRun(state, event) && ran !== 'no') {
    return ask(state, request, { event, cut: true });
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

/** Whether the attempt lost its connection but may go on at an engine. */
function mayStillRun(
  state: RequestsState,
  event: EventOf<'attempt.ended'>,
): boolean {
  return (
    !state.serviceTargetIds.has(event.targetId) &&
    ['cut', 'timedOut', 'crossed'].includes(event.end.type)
  );
}
