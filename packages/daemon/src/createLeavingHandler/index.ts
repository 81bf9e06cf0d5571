import type { ExitReason } from '@endivegate/core';
import type { OpenRequests } from '../createOpenRequests/index.ts';
import type { EffectHandler } from '../runtime/index.ts';

/** Options of {@link createLeavingHandler}. */
export interface CreateLeavingHandlerOptions {
  readonly openRequests: Pick<OpenRequests, 'finish'>;
  /** Stops the servers and ends the process with the code. */
  readonly exit: (code: number, reason: ExitReason) => void;
}

/** Exit code after a drain, and after requests had to be cut. */
const EXIT_CODES: Readonly<Record<ExitReason, number>> = {
  drained: 0,
  drainTimedOut: 1,
  toldTwice: 1,
};

/**
 * Creates the handler that ends the process when the entry has left.
 *
 * Requests that are still open are told that their outcome is unknown.
 *
 * @param options - Open requests, and what ends the process.
 * @returns The handler of the `leaving` effects.
 *
 * @example
 * const handlers = { leaving: createLeavingHandler({ openRequests, exit }) };
 */
export function createLeavingHandler(
  options: CreateLeavingHandlerOptions,
): EffectHandler {
  return (effect) => {
    if (effect.type !== 'leaving.exit') return;
    effect.openRequestIds.forEach((requestId) => {
      options.openRequests.finish(requestId, {
        ran: 'unknown',
        end: { type: 'failed', reason: 'the entry stops' },
      });
    });
    options.exit(EXIT_CODES[effect.reason], effect.reason);
  };
}
