import type { ClaimState } from '@endivegate/contracts';
import { deleteEntry, setEntry } from '../../bucketMap/index.ts';
import type { EventBase, RequestEvent } from '../../events/index.ts';
import { retryDelay } from '../../retryDelay/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import {
  INITIAL_BACKOFF_MS,
  MAX_BACKOFF_MS,
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
 * Stores a new version of an open claim in the state.
 *
 * @param state - State of the slice.
 * @param openClaim - The claim to store.
 * @param effects - Effects of the step.
 * @returns The step with the claim stored.
 */
export function updateClaim(
  state: OnceState,
  openClaim: OpenClaim,
  effects: OnceStep['effects'] = [],
): OnceStep {
  const { requestId } = openClaim.request;
  return {
    state: {
      ...state,
      openClaims: setEntry(state.openClaims, requestId, openClaim),
    },
    effects,
  };
}

/**
 * Removes an open claim from the state; the claim in the store stays.
 *
 * @param state - State of the slice.
 * @param openClaim - The claim to remove.
 * @param effects - Effects of the step.
 * @returns The step without the claim.
 */
export function removeClaim(
  state: OnceState,
  openClaim: OpenClaim,
  effects: OnceStep['effects'] = [],
): OnceStep {
  const { requestId } = openClaim.request;
  return {
    state: { ...state, openClaims: deleteEntry(state.openClaims, requestId) },
    effects,
  };
}

/**
 * Starts writing a claim with a new token to the store.
 *
 * @param state - State of the slice.
 * @param openClaim - The open claim; its version is the one that the write
 * expects.
 * @param event - The event that caused it.
 * @returns The step that writes the claim.
 */
export function createClaim(
  state: OnceState,
  openClaim: OpenClaim,
  event: EventBase,
): OnceStep {
  const tokenCount = openClaim.tokenCount + 1;
  const creating: OpenClaim = {
    ...openClaim,
    phase: 'creating',
    tokenCount,
    token: `${tokenPrefix(state, openClaim)}${tokenCount}`,
    sendByMs: event.atMs + SEND_WINDOW_MS,
    giveUpAtMs: openClaim.request.deadlineAtMs + SETTLE_GRACE_MS,
    mayBeStored: false,
    attemptId: undefined,
    outcome: undefined,
    found: undefined,
  };
  return updateClaim(state, creating, [putEffect(state, creating)]);
}

/**
 * Writes the outcome of the single send that a token allows, or that nothing
 * was sent, into the claim.
 *
 * @param state - State of the slice.
 * @param openClaim - A claim that this entry holds.
 * @param options - The event and the outcome.
 * @returns The step that writes the outcome.
 */
export function recordOutcome(
  state: OnceState,
  openClaim: OpenClaim,
  options: { readonly event: EventBase; readonly outcome: ClaimState },
): OnceStep {
  const recording: OpenClaim = {
    ...openClaim,
    phase: 'recording',
    outcome: options.outcome,
    giveUpAtMs: options.event.atMs + RECORD_TIMEOUT_MS,
  };
  return updateClaim(state, recording, [putEffect(state, recording)]);
}

/**
 * Moves an open claim to a phase that is due after an exponential back-off
 * with jitter.
 *
 * @param state - State of the slice.
 * @param openClaim - The open claim.
 * @param options - The event and the phase.
 * @returns The step.
 */
export function scheduleRetry(
  state: OnceState,
  openClaim: OpenClaim,
  options: { readonly event: EventBase; readonly phase: OpenClaim['phase'] },
): OnceStep {
  const failures = openClaim.failures + 1;
  const delayMs = retryDelay(failures, options.event.random, {
    baseMs: INITIAL_BACKOFF_MS,
    maxMs: MAX_BACKOFF_MS,
  });
  return updateClaim(state, {
    ...openClaim,
    phase: options.phase,
    failures,
    dueAtMs: options.event.atMs + delayMs,
  });
}

/**
 * Returns the effect that writes a claim to the store by compare-and-swap.
 *
 * @param state - State of the slice.
 * @param openClaim - The open claim.
 * @returns The effect.
 */
export function putEffect(state: OnceState, openClaim: OpenClaim): OnceEffect {
  const { request, token, targetId, outcome, version } = openClaim;
  const requestedAtMs = openClaim.sendByMs - SEND_WINDOW_MS;
  const draft: ClaimDraft = {
    ...addressOf(openClaim),
    bodyHash: request.fingerprint,
    token,
    entryId: state.self?.entryId ?? '',
    incarnation: state.self?.incarnation ?? 0,
    targetId,
    timeoutMs: request.deadlineAtMs - requestedAtMs + SETTLE_GRACE_MS,
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
 * Returns the effect that reads a claim from the store.
 *
 * @param openClaim - The open claim.
 * @returns The effect.
 */
export function readEffect(openClaim: OpenClaim): OnceEffect {
  return {
    type: 'once.read',
    requestId: openClaim.request.requestId,
    address: addressOf(openClaim),
  };
}

/**
 * Returns the effect that raises a request event.
 *
 * @param cause - The event whose time and random number are reused.
 * @param event - The event to raise.
 * @returns The effect.
 */
export function raiseEffect(
  cause: EventBase,
  event: RequestEvent,
): RaiseEffect {
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
 * Returns the prefix that all tokens of one request share.
 *
 * @param state - State of the slice.
 * @param openClaim - The request's open claim.
 * @returns Entry id, incarnation and request id, each followed by a slash.
 */
export function tokenPrefix(state: OnceState, openClaim: OpenClaim): string {
  const entryId = state.self?.entryId ?? '';
  const incarnation = state.self?.incarnation ?? 0;
  return `${entryId}/${incarnation}/${openClaim.request.requestId}/`;
}
