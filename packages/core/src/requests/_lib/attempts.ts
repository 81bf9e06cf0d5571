import type { SharedEvent } from '../../events/index.ts';
import { getEntry } from '../../bucketMap/index.ts';
import { unchanged } from '../../step/index.ts';
import { ask } from './asks.ts';
import { close, keep } from './close.ts';
import { ranOfAttempt } from './ran.ts';
import { retryOrEnd } from './retry.ts';
import type {
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
 * Sends a request to the target that routing has chosen.
 *
 * @param state - State of the slice.
 * @param event - The choice.
 * @returns The step that starts an attempt.
 */
export function startAttempt(
  state: RequestsState,
  event: EventOf<'request.dispatched'>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request?.attempt !== undefined || request === undefined) {
    return unchanged(state);
  }
  const { requestId, targetId, reservationId } = event;
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
  const timeoutMs = request.info.deadlineAtMs - event.atMs;
  return {
    state: keep(state, { ...request, attempts, attempt, outputTokens: 0 }),
    effects: [
      {
        type: 'requests.send',
        requestId,
        attemptId,
        targetId,
        timeoutMs,
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
  return retryOrEnd(state, request, { event, ran, reason: event.end.type });
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
