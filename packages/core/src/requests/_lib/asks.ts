import type { AttemptReport, TargetError } from '@endivegate/contracts';
import type { EventBase, SharedEvent } from '../../events/index.ts';
import { unchanged } from '../../step/index.ts';
import { cancelEffects, keep } from './close.ts';
import { retryOrEnd } from './retry.ts';
import type {
  OpenAttempt,
  OpenRequest,
  RequestsState,
  RequestsStep,
} from './types.ts';

/** Time a target has to tell about an attempt. */
export const ASK_TIMEOUT_MS = 1_000;

/** Asks without a reply after which an attempt counts as lost. */
export const MAX_FAILED_ASKS = 2;

/** Times one attempt is continued on a new connection. */
export const MAX_RESUMES = 5;

/**
 * Asks a target on a new connection whether it still runs an attempt.
 *
 * @param state - State of the slice.
 * @param request - The request with its open attempt.
 * @param options - The event and whether the attempt's connection has ended.
 * @returns The step that asks, or no change while an ask is under way.
 */
export function ask(
  state: RequestsState,
  request: OpenRequest,
  options: { readonly event: EventBase; readonly cut: boolean },
): RequestsStep {
  const { attempt } = request;
  if (attempt === undefined) return unchanged(state);
  const asked = { ...attempt, cut: attempt.cut || options.cut, asking: true };
  const next = keep(state, { ...request, attempt: asked });
  if (attempt.asking) return { state: next, effects: [] };
  return {
    state: next,
    effects: [
      {
        type: 'requests.ask',
        requestId: request.info.requestId,
        attemptId: attempt.attemptId,
        targetId: attempt.targetId,
        timeoutMs: ASK_TIMEOUT_MS,
      },
    ],
  };
}

/**
 * Judges an attempt by what its target tells about it.
 *
 * @param state - State of the slice.
 * @param request - The request with its open attempt.
 * @param event - The reply.
 * @returns The step that waits on, resumes, asks again or gives the attempt up.
 */
export function judgeReport(
  state: RequestsState,
  request: OpenRequest,
  event: Extract<SharedEvent, { readonly type: 'attempt.reported' }>,
): RequestsStep {
  const { attempt } = request;
  if (attempt?.asking !== true) return unchanged(state);
  const replied: OpenRequest = {
    ...request,
    attempt: { ...attempt, asking: false },
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
    case 'notSent':
      return loseAttempt(state, replied, event);
    default:
      return attempt.failedAsks + 1 < MAX_FAILED_ASKS
        ? ask(state, countFailedAsk(replied, attempt), { event, cut: false })
        : loseAttempt(state, replied, event);
  }
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
    const waiting = { ...attempt, failedAsks: 0 };
    return {
      state: keep(state, { ...request, attempt: waiting }),
      effects: [],
    };
  }
  if (attempt.resumes >= MAX_RESUMES) {
    return loseAttempt(state, request, options.event);
  }
  return {
    state: keep(state, { ...request, attempt: resumed(attempt) }),
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

function resumed(attempt: OpenAttempt): OpenAttempt {
  return {
    ...attempt,
    cut: false,
    failedAsks: 0,
    resumes: attempt.resumes + 1,
  };
}

function countFailedAsk(
  request: OpenRequest,
  attempt: OpenAttempt,
): OpenRequest {
  return {
    ...request,
    attempt: {
      ...attempt,
      asking: false,
      failedAsks: attempt.failedAsks + 1,
    },
  };
}

/** Gives up an attempt that its target may have run; it is told to stop. */
function loseAttempt(
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
