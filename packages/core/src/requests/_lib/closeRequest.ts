import type { Ran } from '@endivegate/contracts';
import { deleteEntry, setEntry } from '../../bucketMap/index.ts';
import type { EventBase, RequestEnd } from '../../events/index.ts';
import type { OpenRequest, RequestsState, RequestsStep } from './types.ts';

/**
 * Stores a request.
 *
 * @param state - State of the slice.
 * @param request - The changed request.
 * @returns The next state.
 */
export function storeRequest(
  state: RequestsState,
  request: OpenRequest,
): RequestsState {
  return {
    ...state,
    open: setEntry(state.open, request.info.requestId, request),
  };
}

/**
 * Ends a request: reports its end to the caller and cancels its open attempt,
 * unless the outcome of the attempt is needed to settle the call's claim.
 *
 * @param state - State of the slice.
 * @param request - The request to end.
 * @param options - The event that ends it and the result for the caller.
 * @returns The step, whose state no longer contains the request.
 */
export function closeRequest(
  state: RequestsState,
  request: OpenRequest,
  options: {
    readonly event: EventBase;
    readonly ran: Ran;
    readonly end: RequestEnd;
  },
): RequestsStep {
  const { requestId } = request.info;
  const { ran, end } = options;
  return {
    state: { ...state, open: deleteEntry(state.open, requestId) },
    effects: [
      ...(needsClaim(request) ? [] : cancelEffects(request)),
      { type: 'requests.finish', requestId, ran, end },
      {
        type: 'raise',
        event: {
          type: 'request.ended',
          atMs: options.event.atMs,
          random: options.event.random,
          requestId,
          ran,
          end,
        },
      },
    ],
  };
}

/**
 * Returns whether a request needs a claim before each attempt is sent.
 *
 * @param request - The request.
 * @returns True if it may not be repeated and has an idempotency key.
 */
export function needsClaim({ info }: OpenRequest): boolean {
  return !info.repeatable && info.idempotencyKey !== undefined;
}

/**
 * Returns the effects that cancel a request's open attempt.
 *
 * @param request - The request.
 * @returns One cancellation, or nothing when no attempt is open.
 */
export function cancelEffects(request: OpenRequest): RequestsStep['effects'] {
  if (request.attempt === undefined) return [];
  return [
    {
      type: 'requests.cancel',
      requestId: request.info.requestId,
      attemptId: request.attempt.attemptId,
      targetId: request.attempt.targetId,
    },
  ];
}
