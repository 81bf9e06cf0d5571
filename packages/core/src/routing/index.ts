import type { Target } from '@endivegate/contracts';
import type { EventBase, RefusalReason, SharedEvent } from '../events/index.ts';
import type { RequestInfo } from '../request/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';

/** A request known to the routing slice, until it ends. */
export interface RoutedRequest {
  readonly request: RequestInfo;
  /** Target of the running attempt. */
  readonly targetId: string | undefined;
}

/** What routing knows of requests and targets. */
export interface RoutingState {
  readonly targets: readonly Target[];
  readonly requests: ReadonlyMap<string, RoutedRequest>;
}

type RoutingStep = Step<RoutingState, RaiseEffect>;

/** Chooses the target of each request, or refuses it. */
export const routingSlice: Slice<RoutingState, never, never> = {
  initial: { targets: [], requests: new Map() },
  reduce: (state, event) => {
    switch (event.type) {
      case 'targets.changed':
        return unchanged({ ...state, targets: event.targets });
      case 'request.arrived':
        return dispatch(state, event, { request: event.request, excluded: [] });
      case 'request.retryWanted':
        return retry(state, event);
      case 'attempt.ended':
        return unchanged(withTarget(state, event.requestId, undefined));
      case 'request.refused':
      case 'request.ended':
        return unchanged(withoutRequest(state, event.requestId));
      default:
        return unchanged(state);
    }
  },
};

function retry(
  state: RoutingState,
  event: SharedEvent & { readonly type: 'request.retryWanted' },
): RoutingStep {
  const request = state.requests.get(event.requestId)?.request;
  if (!request) return unchanged(state);
  return dispatch(state, event, {
    request,
    excluded: event.excludedTargetIds,
  });
}

function dispatch(
  state: RoutingState,
  stamp: EventBase,
  options: {
    readonly request: RequestInfo;
    readonly excluded: readonly string[];
  },
): RoutingStep {
  const { request, excluded } = options;
  const target = leastInFlight(
    state,
    state.targets.filter(
      (candidate) =>
        isServing(candidate, request.service) &&
        !excluded.includes(candidate.targetId),
    ),
  );
  if (!target) return refuse(state, stamp, request.requestId, 'noTarget');
  const routed: RoutedRequest = { request, targetId: target.targetId };
  return {
    state: {
      ...state,
      requests: new Map(state.requests).set(request.requestId, routed),
    },
    effects: [
      {
        type: 'raise',
        event: {
          ...stampOf(stamp),
          type: 'request.dispatched',
          requestId: request.requestId,
          targetId: target.targetId,
          reservationId: undefined,
        },
      },
    ],
  };
}

function refuse(
  state: RoutingState,
  stamp: EventBase,
  requestId: string,
  reason: RefusalReason,
): RoutingStep {
  return {
    state: withoutRequest(state, requestId),
    effects: [
      {
        type: 'raise',
        event: {
          ...stampOf(stamp),
          type: 'request.refused',
          requestId,
          reason,
          retryAfterMs: NO_TARGET_RETRY_AFTER_MS,
        },
      },
    ],
  };
}

/** Time after which a caller may ask again when no target serves. */
const NO_TARGET_RETRY_AFTER_MS = 1_000;

function isServing(target: Target, service: string): boolean {
  return !target.leaving && target.serves.includes(service);
}

function leastInFlight(
  state: RoutingState,
  candidates: readonly Target[],
): Target | undefined {
  const busy = [...state.requests.values()].map((routed) => routed.targetId);
  const countOf = (target: Target) =>
    busy.filter((targetId) => targetId === target.targetId).length;
  return candidates.toSorted((a, b) => countOf(a) - countOf(b))[0];
}

function withTarget(
  state: RoutingState,
  requestId: string,
  targetId: string | undefined,
): RoutingState {
  const routed = state.requests.get(requestId);
  if (!routed) return state;
  const requests = new Map(state.requests);
  requests.set(requestId, { ...routed, targetId });
  return { ...state, requests };
}

function withoutRequest(state: RoutingState, requestId: string): RoutingState {
  if (!state.requests.has(requestId)) return state;
  const requests = new Map(state.requests);
  requests.delete(requestId);
  return { ...state, requests };
}

function stampOf({ atMs, random }: EventBase): EventBase {
  return { atMs, random };
}
