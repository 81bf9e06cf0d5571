import type { EventBase } from '../../events/index.ts';
import { bucketValues, getEntry } from '../../bucketMap/index.ts';
import { close } from './close.ts';
import { combineRan } from './ran.ts';
import { wantRetry } from './retry.ts';
import type { OpenRequest, RequestsState, RequestsStep } from './types.ts';

/** Time before its deadline at which a request is ended; one pulse. */
export const DEADLINE_MARGIN_MS = 100;

/**
 * Ends requests whose deadline has come, and asks for the retries that are due.
 *
 * @param state - State of the slice.
 * @param event - The pulse.
 * @returns The step.
 */
export function checkDeadlines(
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
          ? endByDeadline(done.state, request, event)
          : wantRetry(done.state, request, event);
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

function endByDeadline(
  state: RequestsState,
  request: OpenRequest,
  event: EventBase,
): RequestsStep {
  const ran = ranSoFar(request);
  return close(state, request, {
    event,
    ran,
    end:
      ran === 'no'
        ? { type: 'refused', reason: 'deadline', retryAfterMs: undefined }
        : { type: 'timedOut' },
  });
}

/**
 * Tells whether a request has run, its open attempt counted as in doubt.
 *
 * @param request - The request.
 * @returns What the caller can be told now.
 */
export function ranSoFar(request: OpenRequest): OpenRequest['ran'] {
  return request.attempt === undefined
    ? request.ran
    : combineRan(request.ran, request.outputTokens > 0 ? 'yes' : 'unknown');
}
