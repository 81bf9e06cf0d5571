import type {
  EventBase,
  RefusalReason,
  SharedEvent,
} from '../../events/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import type { Step } from '../../step/index.ts';
import type {
  RoutedRequest,
  RoutingEffect,
  RoutingState,
  RoutingStep,
} from './types.ts';

/** Stores a request. */
export function storeRequest(
  state: RoutingState,
  routed: RoutedRequest,
): RoutingState {
  const requests = new Map(state.requests);
  requests.set(routed.request.requestId, routed);
  return { ...state, requests };
}

/** Removes a request. */
export function removeRequest(
  state: RoutingState,
  requestId: string,
): RoutingState {
  if (!state.requests.has(requestId)) return state;
  const requests = new Map(state.requests);
  requests.delete(requestId);
  return { ...state, requests };
}

/** Stores a request in a new phase, which starts now. */
export function enterPhase(
  state: RoutingState,
  routed: RoutedRequest,
  change: Partial<RoutedRequest> & Pick<RoutedRequest, 'phase'>,
  atMs: number,
): RoutingState {
  return storeRequest(state, { ...routed, ...change, phaseSinceMs: atMs });
}

/** Refuses a request and removes it. */
export function refuse(
  state: RoutingState,
  eventBase: EventBase,
  refusal: {
    readonly requestId: string;
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  },
): RoutingStep {
  const { requestId, reason } = refusal;
  const retryAfterMs = Math.ceil(Math.max(refusal.retryAfterMs, 0));
  return {
    state: removeRequest(state, requestId),
    effects: [
      raise(eventBase, {
        type: 'request.refused',
        requestId,
        reason,
        retryAfterMs,
      }),
    ],
  };
}

/** Dispatches a request to a target; the requests slice sends it. */
export function dispatchTo(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
  targetId: string,
): RoutingStep {
  const { requestId } = routed.request;
  const { reservationId } = routed;
  return {
    state: enterPhase(
      state,
      routed,
      { phase: 'prefill', targetId },
      eventBase.atMs,
    ),
    effects: [
      raise(eventBase, {
        type: 'request.dispatched',
        requestId,
        targetId,
        reservationId,
      }),
    ],
  };
}

/** Chains a step to another one and concatenates their effects. */
export function andThen(
  done: RoutingStep,
  next: (state: RoutingState) => RoutingStep,
): RoutingStep {
  const step = next(done.state);
  return { state: step.state, effects: [...done.effects, ...step.effects] };
}

/** Returns a step with the given state and effects. */
export function withEffects(
  state: RoutingState,
  effects: readonly (RoutingEffect | RaiseEffect)[],
): Step<RoutingState, RoutingEffect | RaiseEffect> {
  return { state, effects };
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown
  ? Omit<T, K>
  : never;

function raise(
  { atMs, random }: EventBase,
  event: DistributiveOmit<SharedEvent, keyof EventBase>,
): RaiseEffect {
  return { type: 'raise', event: { ...event, atMs, random } };
}
