import type { StoredAnswer, Target, TargetError } from '@endivegate/contracts';
import type { AttemptEnd } from '@endivegate/core';
import type { OpenRequest } from '../../createOpenRequests/index.ts';
import type { Runtime } from '../../runtime/index.ts';
import type { SilenceWatch } from './watchSilence.ts';

/** One attempt with all that its I/O needs. */
export interface Attempt {
  readonly requestId: string;
  readonly attemptId: string;
  readonly target: Target;
  readonly open: OpenRequest;
}

/** One connection of an attempt; a resumed attempt has several in turn. */
export interface Connection {
  readonly runtime: Runtime;
  readonly controller: AbortController;
  readonly silence: SilenceWatch;
}

/** What an attempt came to. */
export interface AttemptOutcome {
  readonly end: AttemptEnd;
  readonly sent: boolean;
  readonly answer?: StoredAnswer | undefined;
}

/**
 * Forgets the tokens of an earlier attempt.
 *
 * Only an answer that is sent whole is ever begun again after tokens, since its
 * caller has seen none of them.
 *
 * @param open - The request, which is sent again.
 */
export function restartAnswer(open: OpenRequest): void {
  if (open.outputTokens === 0) return;
  open.outputTokens = 0;
  open.sink.restart();
}

/**
 * Makes room for a new connection of an attempt, dropping the one before.
 *
 * @param attempt - The attempt.
 * @returns The controller that aborts the new connection.
 */
export function replaceController(attempt: Attempt): AbortController {
  const controller = new AbortController();
  const before = attempt.open.attempts.get(attempt.attemptId);
  attempt.open.attempts.set(attempt.attemptId, controller);
  before?.abort();
  return controller;
}

/**
 * Returns what an attempt came to that gave no answer.
 *
 * @param error - Why it gave none.
 * @returns The outcome.
 */
export function outcomeOfError(error: TargetError): AttemptOutcome {
  return { end: error, sent: error.type !== 'notSent' };
}

/** Why an attempt ends whose target has left the list. */
export const UNLISTED_REASON = 'target is not listed any more';

/** Error of a call to a target that has left the list. */
export const TARGET_UNLISTED: TargetError = {
  type: 'notSent',
  reason: UNLISTED_REASON,
};
