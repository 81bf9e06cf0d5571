import type { RoutingMessage } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { resolveRow } from '../../resolveRow/index.ts';
import type { ReservationPart } from '../../planReservation/index.ts';
import { placerOf } from './placerOf.ts';
import { decodeMsOf } from './queue.ts';
import {
  dispatchTo,
  enterPhase,
  storeRequest,
  refuse,
  withEffects,
} from './routedRequests.ts';
import type {
  RoutedRequest,
  RoutingEffect,
  RoutingState,
  RoutingStep,
} from './types.ts';

/** Time after which an unanswered placement request is repeated. */
export const PLACEMENT_REPEAT_MS = 1_000;

/** Time by which a reservation outlives the request's deadline. */
const RESERVATION_MARGIN_MS = 5_000;

/** Requests an engine from the model's placing entry. */
export function requestPlacement(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const asked = enterPhase(state, routed, { phase: 'placing' }, eventBase.atMs);
  return withEffects(asked, [
    placerEffect(
      state,
      routed.request,
      placementWantedMessage(state, eventBase, routed),
    ),
  ]);
}

/** Repeats unanswered placement requests; messages may have been lost. */
export function repeatPlacementRequests(
  state: RoutingState,
  eventBase: EventBase,
): RoutingStep {
  const due = [...state.requests.values()].filter(
    ({ phase, phaseSinceMs }) =>
      phase === 'placing' &&
      eventBase.atMs - phaseSinceMs >= PLACEMENT_REPEAT_MS,
  );
  return due.reduce<RoutingStep>(
    (done, routed) => {
      const step = requestPlacement(done.state, eventBase, routed);
      return { ...step, effects: [...done.effects, ...step.effects] };
    },
    { state, effects: [] },
  );
}

/**
 * Announces placements that a previous placing entry granted to the new one.
 */
export function announceHeldPlacements(
  state: RoutingState,
  eventBase: EventBase,
): RoutingStep {
  const held = [...state.requests.values()].filter(
    ({ request, phase }) =>
      request.lengthClass === 'huge' && phase !== 'waiting',
  );
  return withEffects(
    state,
    held.map((routed) =>
      placerEffect(
        state,
        routed.request,
        placementWantedMessage(state, eventBase, routed),
      ),
    ),
  );
}

function placementWantedMessage(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
): RoutingMessage {
  const { request, phase, targetId, parts } = routed;
  const isHeld = phase === 'prefill' || phase === 'decoding';
  return {
    type: 'placementWanted',
    requestId: request.requestId,
    model: request.service,
    workspace: request.workspace,
    weight: resolveRow(state.rows, request).weight,
    promptTokens: request.promptTokens,
    needTokens: request.promptTokens + request.maxOutputTokens,
    costMs: routed.costMs,
    decodeMs: decodeMsOf(state, request),
    remainingMs: request.deadlineAtMs - eventBase.atMs,
    excludedTargetIds: routed.excludedTargetIds,
    held:
      isHeld && targetId !== undefined ? { targetId, parts, phase } : undefined,
  };
}

/**
 * Dispatches a request to the granted engine, after reserving memory when it
 * needs several engines.
 */
export function handlePlacementGranted(
  state: RoutingState,
  eventBase: EventBase,
  grant: RoutingMessage & { readonly type: 'placementGranted' },
): RoutingStep {
  const routed = state.requests.get(grant.requestId);
  if (routed?.phase !== 'placing') return withEffects(state, []);
  const { targetId, parts } = grant;
  const granted = { ...routed, targetId, parts, grantedParts: 0 };
  if (parts.length <= 1) return dispatchTo(state, eventBase, granted, targetId);
  const reservationId = `${state.self?.entryId ?? ''}/${state.self?.incarnation ?? 0}/${state.nextReservation}`;
  const numbered = { ...state, nextReservation: state.nextReservation + 1 };
  const reserving = { ...granted, reservationId, phase: 'reserving' as const };
  return reserveNextPart(numbered, eventBase, reserving);
}

/**
 * Reserves the next part, or dispatches the request when all are granted. Parts
 * are reserved in an order that is the same at every entry.
 */
function reserveNextPart(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const { request, reservationId, targetId } = routed;
  const next = routed.parts[routed.grantedParts];
  if (!next || reservationId === undefined) {
    return targetId === undefined
      ? withEffects(state, [])
      : dispatchTo(state, eventBase, routed, targetId);
  }
  return withEffects(
    enterPhase(state, routed, { phase: 'reserving' }, eventBase.atMs),
    [
      {
        type: 'routing.reserve',
        requestId: request.requestId,
        targetId: next.targetId,
        reservationId,
        tokens: next.tokens,
        lifetimeMs:
          Math.max(request.deadlineAtMs - eventBase.atMs, 0) +
          RESERVATION_MARGIN_MS,
      },
    ],
  );
}

/**
 * Handles an engine's reply to a reservation.
 *
 * After a refusal every part is freed before the placement is requested again,
 * so that no entry holds memory while it waits for more; this prevents
 * deadlock.
 */
export function handleReserved(
  state: RoutingState,
  eventBase: EventBase,
  reply: {
    readonly requestId: string;
    readonly targetId: string;
    readonly granted: boolean;
  },
): RoutingStep {
  const routed = state.requests.get(reply.requestId);
  if (routed?.phase !== 'reserving') return withEffects(state, []);
  if (routed.parts[routed.grantedParts]?.targetId !== reply.targetId) {
    return withEffects(state, []);
  }
  if (reply.granted) {
    const grantedParts = routed.grantedParts + 1;
    return reserveNextPart(state, eventBase, { ...routed, grantedParts });
  }
  const released = releaseParts(state, routed);
  return withEffects(
    enterPhase(
      released.state,
      withoutParts(routed),
      { phase: 'placing' },
      eventBase.atMs,
    ),
    [...released.effects, placementEndedEffect(state, routed.request)],
  );
}

/** Frees a request's reserved memory and notifies its placing entry. */
export function releasePlacement(
  state: RoutingState,
  routed: RoutedRequest,
): RoutingStep {
  if (routed.request.lengthClass !== 'huge') return withEffects(state, []);
  const released = releaseParts(state, routed);
  return withEffects(released.state, [
    ...released.effects,
    placementEndedEffect(state, routed.request),
  ]);
}

/**
 * Frees all parts of a reservation; freeing a part that is not held is safe.
 */
function releaseParts(state: RoutingState, routed: RoutedRequest): RoutingStep {
  const { reservationId, parts } = routed;
  if (reservationId === undefined) return withEffects(state, []);
  const freed = storeRequest(state, withoutParts(routed));
  return withEffects(
    freed,
    parts.map(({ targetId }) => ({
      type: 'routing.freeReservation',
      targetId,
      reservationId,
    })),
  );
}

function withoutParts(routed: RoutedRequest): RoutedRequest {
  const parts: readonly ReservationPart[] = [];
  return {
    ...routed,
    targetId: undefined,
    reservationId: undefined,
    parts,
    grantedParts: 0,
  };
}

/** Refuses a request that its placing entry refused. */
export function handlePlacementRefused(
  state: RoutingState,
  eventBase: EventBase,
  refusal: RoutingMessage & { readonly type: 'placementRefused' },
): RoutingStep {
  const routed = state.requests.get(refusal.requestId);
  if (routed?.phase !== 'placing') return withEffects(state, []);
  const { requestId, retryAfterMs } = refusal;
  return refuse(state, eventBase, {
    requestId,
    reason: 'tooLate',
    retryAfterMs,
  });
}

/** Returns the effect that sends a message to the request's placing entry. */
export function placerEffect(
  state: RoutingState,
  request: RequestInfo,
  message: RoutingMessage,
): RoutingEffect {
  const toEntryId = placerOf(state, request.service) ?? '';
  return { type: 'routing.sendPeer', toEntryId, message };
}

function placementEndedEffect(
  state: RoutingState,
  request: RequestInfo,
): RoutingEffect {
  const { requestId } = request;
  return placerEffect(state, request, { type: 'placementEnded', requestId });
}
