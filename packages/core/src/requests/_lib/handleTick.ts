import type { EventBase } from '../../events/index.ts';
import { bucketValues, getEntry } from '../../bucketMap/index.ts';
import { closeRequest } from './closeRequest.ts';
import { combineRan } from './ran.ts';
import { requestRetry } from './retry.ts';
import type { OpenRequest, RequestsState, RequestsStep } from './types.ts';

/** Time before its deadline at which a request is ended; one clock tick. */
export const DEADLINE_MARGIN_MS = 100;

/**
 * Ends requests that reached their deadline, and requests the retries that are
 * due.
 *
 * @param state - State of the slice.
 * @param event - The clock tick.
 * @returns The step.
 */
export function handleTick(
  state: RequestsState,
  event: EventBase,
): RequestsStep {
  return bucketValues(state.open)
    .filter((request) => isDue(request, event.atMs))
    .reduce<RequestsStep>(
      (done, { info }) => {
        const request = getEntry(done.state.open, info.requestId);
        if (request === undefined) return done;
        const step = isExpired(request, event.atMs)
          ? endAtDeadline(done.state, request, event)
          : requestRetry(done.state, request, event);
        return {
          state: step.state,
          effects: [...done.effects, ...step.effects],
        };
      },
      { state, effects: [] },
    );
}

function isDue(request: OpenRequest, nowMs: number): boolean {
  return (
    isExpired(request, nowMs) ||
    (request.retryAtMs !== undefined && request.retryAtMs <= nowMs)
  );
}

function isExpired(request: OpenRequest, nowMs: number): boolean {
  return request.info.deadlineAtMs - DEADLINE_MARGIN_MS <= nowMs;
}

function endAtDeadline(
  state: RequestsState,
  request: OpenRequest,
  event: EventBase,
): RequestsStep {
  const ran = ranSoFar(request);
  return closeRequest(state, request, {
    event,
    ran,
    end:
      ran === 'no'
        ? { type: 'refused', reason: 'deadline', retryAfterMs: undefined }
        : { type: 'timedOut' },
  });
}

/**
 * Returns whether a request has run. An open attempt without tokens counts as
 * `unknown`.
 *
 * @param request - The request.
 * @returns Whether it ran, as far as known now.
 */
export function ranSoFar(request: OpenRequest): OpenRequest['ran'] {
  return request.attempt === undefined
    ? request.ran
    : combineRan(request.ran, request.outputTokens > 0 ? 'yes' : 'unknown');
}
