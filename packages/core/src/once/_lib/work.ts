import type { ClaimState } from '@endivegate/contracts';
import { deleteEntry, setEntry } from '../../bucketMap/index.ts';
import type { EventBase, RequestEvent } from '../../events/index.ts';
import { retryDelay } from '../../retryDelay/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import {
  MAX_POLL_MS,
  POLL_MS,
  RECORD_TIMEOUT_MS,
  SEND_WINDOW_MS,
  SETTLE_GRACE_MS,
} from './constants.ts';
import type {
  ClaimDraft,
  OnceEffect,
  OnceState,
  OnceStep,
  OpenClaim,
} from './types.ts';

/**
 * Keeps a claim's work as it is now, with effects.
 *
 * @param state - State of the slice.
 * @param work - The work.
 * @param effects - Effects of the step.
 * @returns The step.
 */
export function keep(
  state: OnceState,
  work: OpenClaim,
  effects: OnceStep['effects'] = [],
): OnceStep {
  const { requestId } = work.request;
  return {
    state: { ...state, open: setEntry(state.open, requestId, work) },
    effects,
  };
}

/**
 * Ends the work on a claim.
 *
 * @param state - State of the slice.
 * @param work - The work.
 * @param effects - Effects of the step.
 * @returns The step without the work.
 */
export function drop(
  state: OnceState,
  work: OpenClaim,
  effects: OnceStep['effects'] = [],
): OnceStep {
  const { requestId } = work.request;
  return {
    state: { ...state, open: deleteEntry(state.open, requestId) },
    effects,
  };
}

/**
 * Asks the store for the right to send, with a token of its own.
 *
 * @param state - State of the slice.
 * @param work - The work; its version is the one that the write expects.
 * @param event - The event that causes it.
 * @returns The step that writes the claim.
 */
export function create(
  state: OnceState,
  work: OpenClaim,
  event: EventBase,
): OnceStep {
  const claims = work.claims + 1;
  const creating: OpenClaim = {
    ...work,
    phase: 'creating',
    claims,
    token: `${tokenPrefix(state, work)}${claims}`,
    sendByMs: event.atMs + SEND_WINDOW_MS,
    giveUpAtMs: work.request.deadlineAtMs + SETTLE_GRACE_MS,
    mayExist: false,
    attemptId: undefined,
    outcome: undefined,
    found: undefined,
  };
  return keep(state, creating, [putEffect(state, creating)]);
}

/**
 * Writes the outcome of the token's one send, or that there was none.
 *
 * @param state - State of the slice.
 * @param work - The work of a held claim.
 * @param options - The event and the outcome.
 * @returns The step that writes the outcome.
 */
export function record(
  state: OnceState,
  work: OpenClaim,
  options: { readonly event: EventBase; readonly outcome: ClaimState },
): OnceStep {
  const recording: OpenClaim = {
    ...work,
    phase: 'recording',
    outcome: options.outcome,
    giveUpAtMs: options.event.atMs + RECORD_TIMEOUT_MS,
  };
  return keep(state, recording, [putEffect(state, recording)]);
}

/**
 * Moves work to a phase that is due later, with back-off and jitter.
 *
 * @param state - State of the slice.
 * @param work - The work.
 * @param options - The event and the phase.
 * @returns The step.
 */
export function later(
  state: OnceState,
  work: OpenClaim,
  options: { readonly event: EventBase; readonly phase: OpenClaim['phase'] },
): OnceStep {
  const failures = work.failures + 1;
  const delayMs = retryDelay(failures, options.event.random, {
    baseMs: POLL_MS,
    maxMs: MAX_POLL_MS,
  });
  return keep(state, {
    ...work,
    phase: options.phase,
    failures,
    nextAtMs: options.event.atMs + delayMs,
  });
}

/**
 * Returns the effect that writes a claim as its work has it.
 *
 * @param state - State of the slice.
 * @param work - The work.
 * @returns The compare-and-swap.
 */
export function putEffect(state: OnceState, work: OpenClaim): OnceEffect {
  const { request, token, targetId, outcome, version } = work;
  const askedAtMs = work.sendByMs - SEND_WINDOW_MS;
  const draft: ClaimDraft = {
    ...addressOf(work),
    bodyHash: request.fingerprint,
    token,
    entryId: state.self?.entryId ?? '',
    incarnation: state.self?.incarnation ?? 0,
    targetId,
    timeoutMs: request.deadlineAtMs - askedAtMs + SETTLE_GRACE_MS,
    state: outcome ?? { type: 'claimed' },
  };
  return {
    type: 'once.put',
    requestId: request.requestId,
    draft,
    expectedVersion: version,
  };
}

/**
 * Returns the effect that reads a claim.
 *
 * @param work - The work.
 * @returns The read.
 */
export function readEffect(work: OpenClaim): OnceEffect {
  return {
    type: 'once.read',
    requestId: work.request.requestId,
    address: addressOf(work),
  };
}

/**
 * Returns the effect that raises an event of a request.
 *
 * @param cause - The event whose time and random number it takes.
 * @param event - The event to raise.
 * @returns The effect.
 */
export function raise(cause: EventBase, event: RequestEvent): RaiseEffect {
  return {
    type: 'raise',
    event: { atMs: cause.atMs, random: cause.random, ...event },
  };
}

function addressOf({ request }: OpenClaim) {
  return {
    workspace: request.workspace,
    service: request.service,
    idempotencyKey: request.idempotencyKey ?? '',
  };
}

/**
 * Returns how all tokens of a request begin.
 *
 * @param state - State of the slice.
 * @param work - Work of the request.
 * @returns Entry, incarnation and request id.
 */
export function tokenPrefix(state: OnceState, work: OpenClaim): string {
  const entryId = state.self?.entryId ?? '';
  const incarnation = state.self?.incarnation ?? 0;
  return `${entryId}/${incarnation}/${work.request.requestId}/`;
}
