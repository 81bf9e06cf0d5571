import type { AttemptReport, TargetError } from '@endivegate/contracts';
import type { EventBase, SharedEvent } from '../../events/index.ts';
import { unchanged } from '../../step/index.ts';
import { cancelEffects, storeRequest } from './closeRequest.ts';
import { retryOrEnd } from './retry.ts';
import type {
  OpenAttempt,
  OpenRequest,
  RequestsState,
  RequestsStep,
} from './types.ts';

/** Timeout of a status query. */
export const QUERY_TIMEOUT_MS = 1_000;

/**
 * Consecutive status queries without a reply after which an attempt is lost.
 */
export const MAX_FAILED_QUERIES = 2;

/**
 * Largest number of times that one attempt is resumed on a new connection without
 * a further token.
 */
export const MAX_RESUMES = 5;

/**
 * Records the tokens received so far. New ones show that the attempt goes on, so
 * its resumes and failed queries are counted anew.
 *
 * @param request - The request with its open attempt.
 * @param outputTokens - Tokens received for the caller.
 * @returns The request.
 */
export function withProgress(
  request: OpenRequest,
  outputTokens: number,
): OpenRequest {
  const { attempt } = request;
  if (outputTokens <= request.outputTokens) return request;
  return {
    ...request,
    outputTokens,
    attempt: attempt && { ...attempt, resumes: 0, failedQueries: 0 },
  };
}

/**
 * Queries, on a new connection, whether a target still runs an attempt.
 *
 * @param state - State of the slice.
 * @param request - The request with its open attempt.
 * @param options - The event and whether the attempt's connection is lost.
 * @returns The step; it sends no second query while one is in progress.
 */
export function queryAttempt(
  state: RequestsState,
  request: OpenRequest,
  options: { readonly event: EventBase; readonly cut: boolean },
): RequestsStep {
  const { attempt } = request;
  if (attempt === undefined) return unchanged(state);
  const queried = {
    ...attempt,
    cut: attempt.cut || options.cut,
    isQuerying: true,
  };
  const next = storeRequest(state, { ...request, attempt: queried });
  if (attempt.isQuerying) return { state: next, effects: [] };
  return {
    state: next,
    effects: [
      {
        type: 'requests.queryAttempt',
        requestId: request.info.requestId,
        attemptId: attempt.attemptId,
        targetId: attempt.targetId,
        timeoutMs: QUERY_TIMEOUT_MS,
      },
    ],
  };
}

/**
 * Handles a target's reply to a status query.
 *
 * @param state - State of the slice.
 * @param request - The request with its open attempt.
 * @param event - The reply.
 * @returns The step that waits, resumes, queries again or abandons the attempt.
 */
export function handleAttemptReport(
  state: RequestsState,
  request: OpenRequest,
  event: Extract<SharedEvent, { readonly type: 'attempt.reported' }>,
): RequestsStep {
  const { attempt } = request;
  if (attempt?.isQuerying !== true) return unchanged(state);
  const replied: OpenRequest = {
    ...request,
    attempt: { ...attempt, isQuerying: false },
  };
  switch (event.report.type) {
    case 'queued':
    case 'prefill':
    case 'decoding':
    case 'done':
      return continueAttempt(state, replied, {
        event,
        isAhead:
          event.report.type === 'done' ||
          event.report.outputTokens > request.outputTokens,
      });
    case 'absent':
      return abandonAttempt(state, replied, event);
    default:
      return handleFailedQuery(state, replied, event);
  }
}

/**
 * Queries again, or abandons the attempt after {@link MAX_FAILED_QUERIES}. An
 * engine that accepts no connection is taken for gone only if the connection of
 * the attempt is lost too; otherwise the next silence leads to the next query.
 */
function handleFailedQuery(
  state: RequestsState,
  request: OpenRequest,
  event: Extract<SharedEvent, { readonly type: 'attempt.reported' }>,
): RequestsStep {
  const { attempt } = request;
  if (attempt === undefined) return unchanged(state);
  const wasSent = event.report.type !== 'notSent';
  const isLost =
    attempt.failedQueries + 1 >= MAX_FAILED_QUERIES ||
    (attempt.cut && !wasSent);
  if (isLost) return abandonAttempt(state, request, event);
  const failed = withFailedQuery(request, attempt);
  return wasSent
    ? queryAttempt(state, failed, { event, cut: false })
    : { state: storeRequest(state, failed), effects: [] };
}

function continueAttempt(
  state: RequestsState,
  request: OpenRequest,
  options: {
    readonly event: EventBase & {
      readonly report: AttemptReport | TargetError;
    };
    readonly isAhead: boolean;
  },
): RequestsStep {
  const { attempt } = request;
  if (attempt === undefined) return unchanged(state);
  if (!attempt.cut && !options.isAhead) {
    const waiting = { ...attempt, failedQueries: 0 };
    return {
      state: storeRequest(state, { ...request, attempt: waiting }),
      effects: [],
    };
  }
  if (attempt.resumes >= MAX_RESUMES) {
    return abandonAttempt(state, request, options.event);
  }
  return {
    state: storeRequest(state, { ...request, attempt: withResume(attempt) }),
    effects: [
      {
        type: 'requests.resume',
        requestId: request.info.requestId,
        attemptId: attempt.attemptId,
        targetId: attempt.targetId,
        fromOffset: request.outputTokens,
      },
    ],
  };
}

function withResume(attempt: OpenAttempt): OpenAttempt {
  return {
    ...attempt,
    cut: false,
    failedQueries: 0,
    resumes: attempt.resumes + 1,
  };
}

function withFailedQuery(
  request: OpenRequest,
  attempt: OpenAttempt,
): OpenRequest {
  return {
    ...request,
    attempt: {
      ...attempt,
      isQuerying: false,
      failedQueries: attempt.failedQueries + 1,
    },
  };
}

/** Cancels an attempt that its target may have run, then retries or ends. */
function abandonAttempt(
  state: RequestsState,
  request: OpenRequest,
  event: EventBase & { readonly report: AttemptReport | TargetError },
): RequestsStep {
  const step = retryOrEnd(state, request, {
    event,
    ran: request.outputTokens > 0 ? 'yes' : 'unknown',
    reason: `attempt lost: ${event.report.type}`,
    crashed: ['absent', 'notSent'].includes(event.report.type)
      ? request.attempt?.targetId
      : undefined,
  });
  return { ...step, effects: [...cancelEffects(request), ...step.effects] };
}
