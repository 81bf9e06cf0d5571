import type { Ran } from '@endivegate/contracts';
import { getEntry } from '../../bucketMap/index.ts';
import type { EventBase, RequestEnd, SharedEvent } from '../../events/index.ts';
import { unchanged } from '../../step/index.ts';
import { budgetKeys, takeRetry, type RetryBudgets } from './retryBudget.ts';
import { retryDelay } from '../../retryDelay/index.ts';
import { close, keep } from './close.ts';
import { combineRan } from './ran.ts';
import type { OpenRequest, RequestsState, RequestsStep } from './types.ts';

/** Attempts of one request, those that a target refused included. */
export const MAX_ATTEMPTS = 8;

/** Attempts of one request that a target may have run. */
export const MAX_LOST_ATTEMPTS = 3;

/** Bound of the wait before a second retry; doubled for each one after. */
export const RETRY_BACKOFF_MS = 100;

/** Time for which a request that has tried every target waits. */
export const RESTART_WAIT_MS = 500;

/** Longest wait before a retry. */
export const MAX_RETRY_BACKOFF_MS = 2_000;

/** Why the open attempt of a request gave no whole answer. */
export interface AttemptFailure {
  readonly event: EventBase;
  readonly ran: Ran;
  readonly reason: string;
  /** The target, when it seems to have crashed under the attempt. */
  readonly crashed: string | undefined;
}

/**
 * Asks for another attempt, or ends the request when none is allowed.
 *
 * A request is sent again only when its last attempt did not run, or when it
 * may be repeated and no token of it has reached the caller.
 *
 * @param state - State of the slice.
 * @param request - The request whose attempt failed; the attempt is dropped.
 * @param failure - What is known of the failed attempt.
 * @returns The step that asks for a target or tells the caller.
 */
export function retryOrEnd(
  state: RequestsState,
  request: OpenRequest,
  failure: AttemptFailure,
): RequestsStep {
  const failed = withoutAttempt(request, failure.ran);
  const end = reasonNotToRetry(request, failure);
  const retryBudgets =
    end === undefined ? budgetsAfter(state, request, failure) : undefined;
  if (end !== undefined || retryBudgets === undefined) {
    const step = close(state, failed, {
      event: failure.event,
      ran: failed.ran,
      end: end ?? endOfUnanswered(request, failure),
    });
    return withSuspicion(step, failed, { failure, wantsRetry: false });
  }
  return retry({ ...state, retryBudgets }, failed, failure);
}

function retry(
  state: RequestsState,
  failed: OpenRequest,
  failure: AttemptFailure,
): RequestsStep {
  if (failure.crashed !== undefined) {
    const waiting: RequestsStep = { state: keep(state, failed), effects: [] };
    return withSuspicion(waiting, failed, { failure, wantsRetry: true });
  }
  const delayMs = backoffMs(failed.lostAttempts, failure.event.random);
  const waiting = { ...failed, retryAtMs: failure.event.atMs + delayMs };
  return delayMs === 0
    ? wantRetry(state, waiting, failure.event)
    : { state: keep(state, waiting), effects: [] };
}

/** Has a crash judged; raised before the request's end, if it ends. */
function withSuspicion(
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

/** A target that refused to start costs no retry; undefined when used up. */
function budgetsAfter(
  state: RequestsState,
  request: OpenRequest,
  failure: AttemptFailure,
): RetryBudgets | undefined {
  if (failure.ran === 'no') return state.retryBudgets;
  const targetId = request.attempt?.targetId ?? '';
  return takeRetry(
    state.retryBudgets,
    budgetKeys(request.info.workspace, targetId),
    failure.event.atMs,
  );
}

/**
 * Asks for a target for a suspect that may run again.
 *
 * @param state - State of the slice.
 * @param event - The permission.
 * @returns The step that raises `request.retryWanted`.
 */
export function retryAllowed(
  state: RequestsState,
  event: Extract<SharedEvent, { readonly type: 'request.retryAllowed' }>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined || request.attempt !== undefined) {
    return unchanged(state);
  }
  const { avoidedTargetIds } = event;
  return wantRetry(state, request, event, avoidedTargetIds);
}

/**
 * Lets a request wait a little when it has tried every target; one that
 * crashed may have come back by then.
 *
 * @param state - State of the slice.
 * @param request - A request that some target may have run without an answer.
 * @param event - The refusal.
 * @returns The step; the next retry may go to any target.
 */
export function retryAnywhere(
  state: RequestsState,
  request: OpenRequest,
  event: EventBase,
): RequestsStep {
  const waiting: OpenRequest = {
    ...request,
    excludedTargetIds: [],
    retryAtMs: event.atMs + RESTART_WAIT_MS,
  };
  return { state: keep(state, waiting), effects: [] };
}

/**
 * Asks routing for a target for the next attempt.
 *
 * @param state - State of the slice.
 * @param request - A request without an open attempt.
 * @param event - The event that causes it.
 * @param avoidedTargetIds - Targets to keep away from this time.
 * @returns The step that raises `request.retryWanted`.
 */
export function wantRetry(
  state: RequestsState,
  request: OpenRequest,
  event: EventBase,
  avoidedTargetIds: readonly string[] = [],
): RequestsStep {
  return {
    state: keep(state, { ...request, retryAtMs: undefined }),
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

function reasonNotToRetry(
  request: OpenRequest,
  failure: AttemptFailure,
): RequestEnd | undefined {
  const lostAttempts = request.lostAttempts + (failure.ran === 'no' ? 0 : 1);
  if (failure.ran === 'no') {
    return request.attempts < MAX_ATTEMPTS
      ? undefined
      : endOfUnanswered(request, failure);
  }
  const mayRepeat =
    request.info.repeatable &&
    !(isStreamed(request) && request.outputTokens > 0) &&
    lostAttempts < MAX_LOST_ATTEMPTS &&
    request.attempts < MAX_ATTEMPTS;
  return mayRepeat ? undefined : endOfUnanswered(request, failure);
}

function endOfUnanswered(
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
