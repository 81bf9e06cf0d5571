import { getEntry } from '../../bucketMap/index.ts';
import type { SharedEvent } from '../../events/index.ts';
import { unchanged } from '../../step/index.ts';
import { closeRequest, storeRequest } from './closeRequest.ts';
import { combineRan } from './ran.ts';
import type { RequestsState, RequestsStep } from './types.ts';

type EventOf<Type extends SharedEvent['type']> = Extract<
  SharedEvent,
  { readonly type: Type }
>;

/**
 * Records that another claim holds the call's key, so that the call may have
 * run.
 *
 * @param state - State of the slice.
 * @param event - The contention.
 * @returns The step that records it.
 */
export function handleClaimContended(
  state: RequestsState,
  event: EventOf<'request.claimContended'>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined) return unchanged(state);
  const ran = combineRan(request.ran, 'unknown');
  return { state: storeRequest(state, { ...request, ran }), effects: [] };
}

/**
 * Ends a call that must not be sent, with the answer stored under its key if
 * any.
 *
 * @param state - State of the slice.
 * @param event - The refusal of the claim, with the result of the call.
 * @returns The step that ends the request.
 */
export function handleClaimRefused(
  state: RequestsState,
  event: EventOf<'request.claimRefused'>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined) return unchanged(state);
  const step = closeRequest(state, request, {
    event,
    ran: event.ran,
    end: event.end,
  });
  if (event.answer === undefined) return step;
  const { requestId, answer } = event;
  return {
    state: step.state,
    effects: [
      { type: 'requests.replayStored', requestId, answer },
      ...step.effects,
    ],
  };
}
