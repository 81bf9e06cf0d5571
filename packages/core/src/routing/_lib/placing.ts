import type { RoutingMessage } from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { resolveRow } from '../../resolveRow/index.ts';
import type { ReservationPart } from '../../planReservation/index.ts';
import { placerOf } from './peers.ts';
import { decodeMsOf } from './queue.ts';
import { dispatchTo, enter, keep, refuse, withEffects } from './requests.ts';
import type {
  RoutedRequest,
  RoutingEffect,
  RoutingState,
  RoutingStep,
} from './types.ts';

/** Time after which an unanswered question to a placing entry is repeated. */
export const ASK_AGAIN_MS = 1_000;

/** Time that reservations outlive the request's deadline. */
const RESERVATION_MARGIN_MS = 5_000;

/** Asks the model's placing entry for an engine. */
export function askForPlacement(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const asked = enter(state, routed, { phase: 'placing' }, stamp.atMs);
  return withEffects(asked, [
    toPlacer(state, routed.request, wantedMessage(state, stamp, routed)),
  ]);
}

/** Repeats questions that were not answered; answers may have been lost. */
export function askAgain(state: RoutingState, stamp: EventBase): RoutingStep {
  const due = [...state.requests.values()].filter(
    ({ phase, phaseSinceMs }) =>
      phase === 'placing' && stamp.atMs - phaseSinceMs >= ASK_AGAIN_MS,
  );
  return due.reduce<RoutingStep>(
    (done, routed) => {
      const step = askForPlacement(done.state, stamp, routed);
      return { ...step, effects: [...done.effects, ...step.effects] };
    },
    { state, effects: [] },
  );
}

/** Tells a new placing entry what its predecessor had granted. */
export function announceHeld(
  state: RoutingState,
  stamp: EventBase,
): RoutingStep {
  const held = [...state.requests.values()].filter(
    ({ request, phase }) =>
      request.lengthClass === 'huge' && phase !== 'waiting',
  );
  return withEffects(
    state,
    held.map((routed) =>
      toPlacer(state, routed.request, wantedMessage(state, stamp, routed)),
    ),
  );
}

function wantedMessage(
  state: RoutingState,
  stamp: EventBase,
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
    remainingMs: request.deadlineAtMs - stamp.atMs,
    excludedTargetIds: routed.excludedTargetIds,
    held:
      isHeld && targetId !== undefined ? { targetId, parts, phase } : undefined,
  };
}

/** Takes the engine that a placing entry has granted. */
export function takeGrant(
  state: RoutingState,
  stamp: EventBase,
  grant: RoutingMessage & { readonly type: 'placementGranted' },
): RoutingStep {
  const routed = state.requests.get(grant.requestId);
  if (routed?.phase !== 'placing') return withEffects(state, []);
  const { targetId, parts } = grant;
  const granted = { ...routed, targetId, parts, grantedParts: 0 };
  if (parts.length <= 1) return dispatchTo(state, stamp, granted, targetId);
  const reservationId = `${state.self?.entryId ?? ''}/${state.self?.incarnation ?? 0}/${state.nextReservation}`;
  const numbered = { ...state, nextReservation: state.nextReservation + 1 };
  const reserving = { ...granted, reservationId, phase: 'reserving' as const };
  return reserveNext(numbered, stamp, reserving);
}

/** Asks for the next part, in the global order, or sends the request. */
function reserveNext(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
): RoutingStep {
  const { request, reservationId, targetId } = routed;
  const next = routed.parts[routed.grantedParts];
  if (!next || reservationId === undefined) {
    return targetId === undefined
      ? withEffects(state, [])
      : dispatchTo(state, stamp, routed, targetId);
  }
  return withEffects(enter(state, routed, { phase: 'reserving' }, stamp.atMs), [
    {
      type: 'routing.reserve',
      requestId: request.requestId,
      targetId: next.targetId,
      reservationId,
      tokens: next.tokens,
      lifetimeMs:
        Math.max(request.deadlineAtMs - stamp.atMs, 0) + RESERVATION_MARGIN_MS,
    },
  ]);
}

/**
 * Goes on after an engine's answer to a reservation.
 *
 * On a refusal every part is given back before anything else is asked for, so
 * that no entry holds memory while it waits for more.
 */
export function noteReserved(
  state: RoutingState,
  stamp: EventBase,
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
    return reserveNext(state, stamp, { ...routed, grantedParts });
  }
  const released = releaseParts(state, routed);
  return withEffects(
    enter(
      released.state,
      withoutParts(routed),
      { phase: 'placing' },
      stamp.atMs,
    ),
    [...released.effects, placementEnded(state, routed.request)],
  );
}

/** Frees the memory of a request and tells its placing entry. */
export function releaseHuge(
  state: RoutingState,
  routed: RoutedRequest,
): RoutingStep {
  if (routed.request.lengthClass !== 'huge') return withEffects(state, []);
  const released = releaseParts(state, routed);
  return withEffects(released.state, [
    ...released.effects,
    placementEnded(state, routed.request),
  ]);
}

/** Frees every part that was asked for; freeing an absent one is harmless. */
function releaseParts(state: RoutingState, routed: RoutedRequest): RoutingStep {
  const { reservationId, parts } = routed;
  if (reservationId === undefined) return withEffects(state, []);
  const freed = keep(state, withoutParts(routed));
  return withEffects(
    freed,
    parts.map(({ targetId }) => ({
      type: 'routing.free',
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

/** Passes on the placing entry's refusal. */
export function takeRefusal(
  state: RoutingState,
  stamp: EventBase,
  refusal: RoutingMessage & { readonly type: 'placementRefused' },
): RoutingStep {
  const routed = state.requests.get(refusal.requestId);
  if (routed?.phase !== 'placing') return withEffects(state, []);
  const { requestId, retryAfterMs } = refusal;
  return refuse(state, stamp, { requestId, reason: 'tooLate', retryAfterMs });
}

/** Effect that tells the placing entry about a request's progress. */
export function toPlacer(
  state: RoutingState,
  request: RequestInfo,
  message: RoutingMessage,
): RoutingEffect {
  const toEntryId = placerOf(state, request.service) ?? '';
  return { type: 'routing.sendPeer', toEntryId, message };
}

function placementEnded(
  state: RoutingState,
  request: RequestInfo,
): RoutingEffect {
  const { requestId } = request;
  return toPlacer(state, request, { type: 'placementEnded', requestId });
}
