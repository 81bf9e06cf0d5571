import type { ExitReason } from '@endivegate/core';
import type { OpenRequests } from '../createOpenRequests/index.ts';
import type { EffectHandler } from '../runtime/index.ts';

/** Options of {@link createLeavingHandler}. */
export interface CreateLeavingHandlerOptions {
  readonly openRequests: Pick<OpenRequests, 'finish'>;
  /** Stops the servers and ends the process with the exit code. */
  readonly exit: (code: number, reason: ExitReason) => void;
}

/** Exit codes: 0 after a complete drain, 1 when leaving was cut short. */
const EXIT_CODES: Readonly<Record<ExitReason, number>> = {
  drained: 0,
  drainTimedOut: 1,
  toldTwice: 1,
};

/**
 * Creates the handler that ends the process when the entry has left.
 *
 * Requests that are still open are finished as failed, and the answer says that
 * it is unknown whether they ran.
 *
 * @param options - Open requests and the function that ends the process.
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
