import type { ShutdownBudget } from '@endivegate/core/forwarding';
import type { CallerServer } from '../../../createCallerServer/index.ts';
import type { EventLog } from '../../../createEventLog/index.ts';
import type { ShutdownState } from '../shutdownState.ts';

/** What {@link finishRequests} acts on. */
export interface FinishRequestsOptions {
  readonly shutdown: ShutdownState;
  readonly budget: ShutdownBudget;
  readonly callerServer: Pick<CallerServer, 'openRequests' | 'receivedBytes'>;
  readonly log: EventLog;
}

const CHECK_INTERVAL_MS = 50;

/**
 * Waits until an entry that shuts down has no open request, or ends those that are open at
 * the end of its grace period, and waits for callers that still read their answers. The server
 * goes on accepting requests until then, so that each one gets a complete response.
 *
 * @param options - The shutdown, which has begun, and the server for callers.
 * @param done - Called when the process may exit.
 */
export function finishRequests(
  { shutdown, budget, callerServer, log }: FinishRequestsOptions,
  done: () => void,
): void {
  const { openRequests, receivedBytes } = callerServer;
  const elapsedMs = (): number => shutdown.grace()?.elapsedMs ?? 0;
  let hasEnded = false;
  let isOver = false;
  const check = setInterval(() => {
    const receivedBefore = receivedBytes();
    afterPending(() => {
      if (isOver) return;
      const isQuiet =
        openRequests() === 0 && receivedBytes() === receivedBefore;
      if (hasEnded) exitIfAnswered(isQuiet);
      else endIfDue(isQuiet);
    });
  }, CHECK_INTERVAL_MS);

  function endIfDue(isQuiet: boolean): void {
    const isDrained = isQuiet && elapsedMs() >= budget.idleMs;
    if (!isDrained && elapsedMs() < budget.endMs) return;
    hasEnded = true;
    log.info('closing', {
      elapsedMs: elapsedMs(),
      openRequests: openRequests(),
      reason: isDrained ? 'drained' : 'graceEnded',
    });
    shutdown.end();
    if (isDrained) exit();
  }

  function exitIfAnswered(isQuiet: boolean): void {
    if (isQuiet || elapsedMs() >= budget.exitMs) exit();
  }

  function exit(): void {
    isOver = true;
    clearInterval(check);
    log.info('left', { elapsedMs: elapsedMs(), openRequests: openRequests() });
    done();
  }
}

/** Calls a function once what had arrived before has been read: timers run before sockets are
 * polled, and the data of a new connection is read one pass after it is accepted. */
function afterPending(act: () => void): void {
  setImmediate(() => setImmediate(() => setImmediate(act)));
}
