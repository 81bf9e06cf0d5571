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

/** Stores a request's changed standing. */
export function keep(state: RoutingState, routed: RoutedRequest): RoutingState {
  const requests = new Map(state.requests);
  requests.set(routed.request.requestId, routed);
  return { ...state, requests };
}

/** Forgets a request. */
export function forget(state: RoutingState, requestId: string): RoutingState {
  if (!state.requests.has(requestId)) return state;
  const requests = new Map(state.requests);
  requests.delete(requestId);
  return { ...state, requests };
}

/** Moves a request to another phase. */
export function enter(
  state: RoutingState,
  routed: RoutedRequest,
  change: Partial<RoutedRequest> & Pick<RoutedRequest, 'phase'>,
  atMs: number,
): RoutingState {
  return keep(state, { ...routed, ...change, phaseSinceMs: atMs });
}

/** Refuses a request that has not run, and forgets it. */
export function refuse(
  state: RoutingState,
  stamp: EventBase,
  refusal: {
    readonly requestId: string;
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  },
): RoutingStep {
  const { requestId, reason } = refusal;
  const retryAfterMs = Math.ceil(Math.max(refusal.retryAfterMs, 0));
  return {
    state: forget(state, requestId),
    effects: [
      raise(stamp, {
        type: 'request.refused',
        requestId,
        reason,
        retryAfterMs,
      }),
    ],
  };
}

/** Hands a request on to the slice that sends it. */
export function dispatchTo(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
  targetId: string,
): RoutingStep {
  const { requestId } = routed.request;
  const { reservationId } = routed;
  return {
    state: enter(state, routed, { phase: 'prefill', targetId }, stamp.atMs),
    effects: [
      raise(stamp, {
        type: 'request.dispatched',
        requestId,
        targetId,
        reservationId,
      }),
    ],
  };
}

/** Runs a step on the result of another one. */
export function andThen(
  done: RoutingStep,
  next: (state: RoutingState) => RoutingStep,
): RoutingStep {
  const step = next(done.state);
  return { state: step.state, effects: [...done.effects, ...step.effects] };
}

/** A step that only has effects. */
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
