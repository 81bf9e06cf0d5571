import type { ShutdownBudget } from '@endivegate/core/forwarding';
import type { CallerServer } from '../../../createCallerServer/index.ts';
import type { EventLog } from '../../../createEventLog/index.ts';
import type { ShutdownState } from '../shutdownState.ts';

/** What {@link finishRequests} acts on. */
export interface FinishRequestsOptions {
  readonly shutdown: ShutdownState;
  readonly budget: ShutdownBudget;
  readonly callerServer: Pick<
    CallerServer,
    'server' | 'openRequests' | 'closeIdle'
  >;
  readonly log: EventLog;
}

const CHECK_INTERVAL_MS = 50;

/**
 * Waits until an entry that shuts down has no open request, or ends those that are open at
 * the end of its grace period, and waits for callers that still read their answers.
 *
 * @param options - The shutdown, which has begun, and the server for callers.
 * @param done - Called when the process may exit.
 */
export function finishRequests(
  { shutdown, budget, callerServer, log }: FinishRequestsOptions,
  done: () => void,
): void {
  const { openRequests } = callerServer;
  let isClosed = false;
  const check = setInterval(() => {
    const { elapsedMs = 0 } = shutdown.grace() ?? {};
    const isDrained = openRequests() === 0 && elapsedMs >= budget.idleMs;
    if (!isClosed && (isDrained || elapsedMs >= budget.endMs)) {
      isClosed = true;
      close({ elapsedMs, reason: isDrained ? 'drained' : 'graceEnded' });
    }
    if (!isClosed) return;
    if (openRequests() > 0 && elapsedMs < budget.exitMs) return;
    clearInterval(check);
    log.info('left', { elapsedMs, openRequests: openRequests() });
    done();
  }, CHECK_INTERVAL_MS);

  function close(fields: {
    readonly elapsedMs: number;
    readonly reason: string;
  }): void {
    log.info('closing', { ...fields, openRequests: openRequests() });
    shutdown.end();
    callerServer.server.close();
    callerServer.closeIdle();
  }
}
