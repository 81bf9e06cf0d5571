/** Bounds how late the process handles a signal. */
export interface SignalDelay {
  /** Called in regular intervals. */
  readonly tick: () => void;
  /** Longest time for which a signal that is handled now may have waited, in ms. */
  readonly longestMs: () => number;
}

/**
 * Creates the bound. A signal waits while the event loop is busy, which the last two intervals
 * show: a timer that is late runs before a signal that has waited with it.
 *
 * @param busyMs - Returns the time for which the event loop has been busy since the start.
 * @returns The bound.
 */
export function createSignalDelay(busyMs: () => number): SignalDelay {
  let previousMs = busyMs();
  let currentMs = previousMs;
  return {
    tick() {
      previousMs = currentMs;
      currentMs = busyMs();
    },
    longestMs: () => busyMs() - previousMs,
  };
}

/** Time for which the event loop of this process has been busy since its start, in ms. */
export function eventLoopBusyMs(): number {
  return performance.eventLoopUtilization().active;
}
