import type { Ran } from '@endivegate/contracts';
import { getEntry } from '../../bucketMap/index.ts';
import type { EventBase, RequestEnd, SharedEvent } from '../../events/index.ts';
import { unchanged } from '../../step/index.ts';
import {
  retryBudgetKeys,
  debitRetry,
  type RetryBudgets,
} from './retryBudget.ts';
import { retryDelay } from '../../retryDelay/index.ts';
import { closeRequest, storeRequest } from './closeRequest.ts';
import { combineRan } from './ran.ts';
import type { OpenRequest, RequestsState, RequestsStep } from './types.ts';

/** Largest number of attempts of one request, including refused ones. */
export const MAX_ATTEMPTS = 8;

/** Largest number of attempts of one request that a target may have run. */
export const MAX_LOST_ATTEMPTS = 3;

/**
 * Upper bound of the delay before the second retry; doubles with each retry.
 */
export const RETRY_BACKOFF_MS = 100;

/**
 * Delay before a request that has tried every target may use any of them again.
 */
export const ALL_TARGETS_TRIED_WAIT_MS = 500;

/** Longest delay before a retry. */
export const MAX_RETRY_BACKOFF_MS = 2_000;

/** Why the open attempt of a request did not give a complete answer. */
export interface AttemptFailure {
  readonly event: EventBase;
  readonly ran: Ran;
  readonly reason: string;
  /** Id of the target if it appears to have crashed during the attempt. */
  readonly crashed: string | undefined;
}

/**
 * Retries a request, or ends it if no retry is allowed.
 *
 * A request is sent again only if its last attempt did not run, or if it may be
 * repeated and none of its tokens has been streamed to the caller.
 *
 * @param state - State of the slice.
 * @param request - The request whose attempt failed; the attempt is removed.
 * @param failure - What is known about the failed attempt.
 * @returns The step that schedules the retry or ends the request.
 */
export function retryOrEnd(
  state: RequestsState,
  request: OpenRequest,
  failure: AttemptFailure,
): RequestsStep {
  const failed = withoutAttempt(request, failure.ran);
  const end = endIfNotRetryable(request, failure);
  const retryBudgets =
    end === undefined ? spendRetry(state, request, failure) : undefined;
  if (end !== undefined || retryBudgets === undefined) {
    const step = closeRequest(state, failed, {
      event: failure.event,
      ran: failed.ran,
      end: end ?? unansweredEnd(request, failure),
    });
    return withSuspectedEvent(step, failed, { failure, wantsRetry: false });
  }
  return scheduleRetry({ ...state, retryBudgets }, failed, failure);
}

function scheduleRetry(
  state: RequestsState,
  failed: OpenRequest,
  failure: AttemptFailure,
): RequestsStep {
  if (failure.crashed !== undefined) {
    const waiting: RequestsStep = {
      state: storeRequest(state, failed),
      effects: [],
    };
    return withSuspectedEvent(waiting, failed, { failure, wantsRetry: true });
  }
  const delayMs = backoffMs(failed.lostAttempts, failure.event.random);
  const waiting = { ...failed, retryAtMs: failure.event.atMs + delayMs };
  return delayMs === 0
    ? requestRetry(state, waiting, failure.event)
    : { state: storeRequest(state, waiting), effects: [] };
}

/**
 * Raises `request.suspected` after a crash, so that the suspects slice decides
 * whether the request may be retried. It comes before the request's end, if
 * any.
 */
function withSuspectedEvent(
  step: RequestsStep,
  request: OpenRequest,
  options: { readonly failure: AttemptFailure; readonly wantsRetry: boolean },
): RequestsStep {
  const { failure, wantsRetry } = options;
  if (failure.crashed === undefined) return step;
  const { atMs, random } = failure.event;
  return {
    state: step.state,
    effects: [
      {
        type: 'raise',
        event: {
          type: 'request.suspected',
          atMs,
          random,
          requestId: request.info.requestId,
          targetId: failure.crashed,
          wantsRetry,
        },
      },
      ...step.effects,
    ],
  };
}

/**
 * Takes a retry from the budgets, except after an attempt that did not run,
 * which costs none. Returns undefined if a budget is used up.
 */
function spendRetry(
  state: RequestsState,
  request: OpenRequest,
  failure: AttemptFailure,
): RetryBudgets | undefined {
  if (failure.ran === 'no') return state.retryBudgets;
  const targetId = request.attempt?.targetId ?? '';
  return debitRetry(
    state.retryBudgets,
    retryBudgetKeys(request.info.workspace, targetId),
    failure.event.atMs,
  );
}

/**
 * Requests a target for a suspect request that may run again.
 *
 * @param state - State of the slice.
 * @param event - The permission.
 * @returns The step that raises `request.retryWanted`.
 */
export function handleRetryAllowed(
  state: RequestsState,
  event: Extract<SharedEvent, { readonly type: 'request.retryAllowed' }>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined || request.attempt !== undefined) {
    return unchanged(state);
  }
  const { avoidedTargetIds } = event;
  return requestRetry(state, request, event, avoidedTargetIds);
}

/**
 * Delays a request that has tried every target. A target that crashed may have
 * restarted by then.
 *
 * @param state - State of the slice.
 * @param request - A request that a target may have run without an answer.
 * @param event - The refusal.
 * @returns The step that schedules a retry on any target.
 */
export function retryAnyTargetLater(
  state: RequestsState,
  request: OpenRequest,
  event: EventBase,
): RequestsStep {
  const waiting: OpenRequest = {
    ...request,
    excludedTargetIds: [],
    retryAtMs: event.atMs + ALL_TARGETS_TRIED_WAIT_MS,
  };
  return { state: storeRequest(state, waiting), effects: [] };
}

/**
 * Requests a target for the next attempt from routing.
 *
 * @param state - State of the slice.
 * @param request - A request without an open attempt.
 * @param event - The event that causes it.
 * @param avoidedTargetIds - Targets to exclude for this attempt only.
 * @returns The step that raises `request.retryWanted`.
 */
export function requestRetry(
  state: RequestsState,
  request: OpenRequest,
  event: EventBase,
  avoidedTargetIds: readonly string[] = [],
): RequestsStep {
  return {
    state: storeRequest(state, { ...request, retryAtMs: undefined }),
    effects: [
      {
        type: 'raise',
        event: {
          type: 'request.retryWanted',
          atMs: event.atMs,
          random: event.random,
          requestId: request.info.requestId,
          excludedTargetIds: [
            ...new Set([...request.excludedTargetIds, ...avoidedTargetIds]),
          ],
          isolated: request.lostAttempts > 0,
        },
      },
    ],
  };
}

function withoutAttempt(request: OpenRequest, ran: Ran): OpenRequest {
  const targetId = request.attempt?.targetId;
  return {
    ...request,
    attempt: undefined,
    outputTokens: 0,
    ran: combineRan(request.ran, ran),
    lostAttempts: request.lostAttempts + (ran === 'no' ? 0 : 1),
    excludedTargetIds:
      targetId === undefined || request.excludedTargetIds.includes(targetId)
        ? request.excludedTargetIds
        : [...request.excludedTargetIds, targetId],
  };
}

function endIfNotRetryable(
  request: OpenRequest,
  failure: AttemptFailure,
): RequestEnd | undefined {
  const lostAttempts = request.lostAttempts + (failure.ran === 'no' ? 0 : 1);
  if (failure.ran === 'no') {
    return request.attempts < MAX_ATTEMPTS
      ? undefined
      : unansweredEnd(request, failure);
  }
  const canRepeat =
    request.info.repeatable &&
    !(isStreamed(request) && request.outputTokens > 0) &&
    lostAttempts < MAX_LOST_ATTEMPTS &&
    request.attempts < MAX_ATTEMPTS;
  return canRepeat ? undefined : unansweredEnd(request, failure);
}

function unansweredEnd(
  request: OpenRequest,
  failure: AttemptFailure,
): RequestEnd {
  const ran = combineRan(request.ran, failure.ran);
  if (ran === 'no') {
    return {
      type: 'refused',
      reason: 'targetsRefused',
      retryAfterMs: MAX_RETRY_BACKOFF_MS,
    };
  }
  return ran === 'unknown' && !request.info.repeatable
    ? { type: 'inDoubt' }
    : { type: 'failed', reason: failure.reason };
}

function isStreamed(request: OpenRequest): boolean {
  return request.info.streamed ?? true;
}

function backoffMs(lostAttempts: number, random: number): number {
  return lostAttempts < 2
    ? 0
    : retryDelay(lostAttempts - 1, random, {
        baseMs: RETRY_BACKOFF_MS,
        maxMs: MAX_RETRY_BACKOFF_MS,
      });
}
