import type { Ran } from '@endivegate/contracts';
import { deleteEntry, setEntry } from '../../bucketMap/index.ts';
import type { EventBase, RequestEnd } from '../../events/index.ts';
import type { OpenRequest, RequestsState, RequestsStep } from './types.ts';

/**
 * Returns a state in which a request has changed.
 *
 * @param state - State of the slice.
 * @param request - The request as it is now.
 * @returns The next state.
 */
export function keep(
  state: RequestsState,
  request: OpenRequest,
): RequestsState {
  return {
    ...state,
    open: setEntry(state.open, request.info.requestId, request),
  };
}

/**
 * Ends a request: tells the caller, and stops the attempt that is under way
 * unless its outcome must be learnt for the call's claim.
 *
 * @param state - State of the slice.
 * @param request - The request to end.
 * @param options - The event that ends it and what the caller is told.
 * @returns A step without the request.
 */
export function close(
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
      ...(isClaimed(request) ? [] : cancelEffects(request)),
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
 * Tells whether a request needs a claim before each send.
 *
 * @param request - The request.
 * @returns Whether it may not be repeated and names an idempotency key.
 */
export function isClaimed({ info }: OpenRequest): boolean {
  return !info.repeatable && info.idempotencyKey !== undefined;
}

/**
 * Lists the effects that stop a request's open attempt.
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
