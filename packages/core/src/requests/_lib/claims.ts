import { getEntry } from '../../bucketMap/index.ts';
import type { SharedEvent } from '../../events/index.ts';
import { unchanged } from '../../step/index.ts';
import { close, keep } from './close.ts';
import { combineRan } from './ran.ts';
import type { RequestsState, RequestsStep } from './types.ts';

type EventOf<Type extends SharedEvent['type']> = Extract<
  SharedEvent,
  { readonly type: Type }
>;

/**
 * Notes that another claim holds the call's key, so that the call may have run.
 *
 * @param state - State of the slice.
 * @param event - The finding.
 * @returns The step.
 */
export function noteContention(
  state: RequestsState,
  event: EventOf<'request.claimContended'>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined) return unchanged(state);
  const ran = combineRan(request.ran, 'unknown');
  return { state: keep(state, { ...request, ran }), effects: [] };
}

/**
 * Ends a call that must not be sent, with the answer stored for its key if any.
 *
 * @param state - State of the slice.
 * @param event - The refusal and what is known of the call.
 * @returns The step that tells the caller.
 */
export function endUnclaimed(
  state: RequestsState,
  event: EventOf<'request.claimRefused'>,
): RequestsStep {
  const request = getEntry(state.open, event.requestId);
  if (request === undefined) return unchanged(state);
  const step = close(state, request, { event, ran: event.ran, end: event.end });
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
