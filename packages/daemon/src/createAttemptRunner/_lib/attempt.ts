import type { StoredAnswer, Target, TargetError } from '@endivegate/contracts';
import type { AttemptEnd } from '@endivegate/core';
import type { OpenRequest } from '../../createOpenRequests/index.ts';
import type { Runtime } from '../../runtime/index.ts';
import type { SilenceWatch } from './watchSilence.ts';

/** An attempt to run a request on a target, with the state its I/O needs. */
export interface Attempt {
  readonly requestId: string;
  readonly attemptId: string;
  readonly target: Target;
  readonly openRequest: OpenRequest;
}

/** A connection of an attempt; each resume opens a new one. */
export interface Connection {
  readonly runtime: Runtime;
  readonly controller: AbortController;
  readonly silence: SilenceWatch;
}

/** Outcome of an attempt. */
export interface AttemptOutcome {
  readonly end: AttemptEnd;
  /** Whether the request may have reached the target. */
  readonly sent: boolean;
  readonly answer?: StoredAnswer | undefined;
}

/**
 * Discards the tokens of an earlier attempt.
 *
 * Only a non-streamed answer is restarted after tokens were received, because
 * its caller has not seen any of them.
 *
 * @param openRequest - The request that is sent again.
 */
export function restartAnswer(openRequest: OpenRequest): void {
  if (openRequest.outputTokens === 0) return;
  openRequest.outputTokens = 0;
  openRequest.sink.restart();
}

/**
 * Registers the abort controller of an attempt's new connection and aborts the
 * previous connection.
 *
 * @param attempt - The attempt.
 * @returns The controller that aborts the new connection.
 */
export function replaceAbortController(attempt: Attempt): AbortController {
  const controller = new AbortController();
  const previous = attempt.openRequest.attempts.get(attempt.attemptId);
  attempt.openRequest.attempts.set(attempt.attemptId, controller);
  previous?.abort();
  return controller;
}

/**
 * Builds the outcome of an attempt that produced no answer.
 *
 * @param error - The error of the call to the target.
 * @returns The outcome.
 */
export function toErrorOutcome(error: TargetError): AttemptOutcome {
  return { end: error, sent: error.type !== 'notSent' };
}

/** Reason given for an attempt whose target is no longer listed. */
export const TARGET_NOT_LISTED_REASON = 'target is not listed any more';

/** Error of a call to a target that is no longer listed. */
export const TARGET_NOT_LISTED_ERROR: TargetError = {
  type: 'notSent',
  reason: TARGET_NOT_LISTED_REASON,
};
