/** Detects that a target has sent nothing for too long. */
export interface StallDetector {
  /** Restarts the timer; called whenever the target sends something. */
  readonly reset: () => void;
  readonly stop: () => void;
}

/** Options of {@link createStallDetector}. */
export interface StallDetectorOptions {
  /**
   * How much longer a target with this prefill backlog may stay silent;
   * undefined if there is no limit.
   */
  readonly remainingSilenceMs: (backlogMs: number) => number | undefined;
  /**
   * Prefill backlog of the target in ms; computed only when the timer expires.
   */
  readonly backlogMs: () => number;
  /** Called when the limit is exceeded, and again while the silence lasts. */
  readonly onSilence: () => void;
}

/** Time until `onSilence` is called again: a few decoding passes. */
const RECHECK_INTERVAL_MS = 250;

/** Remaining times up to this count as expired. */
const MIN_WAIT_MS = 5;

/**
 * Creates a stall detector. The timer starts without the backlog, which can
 * only extend the limit, so the backlog is computed only once that time has
 * passed.
 */
export function createStallDetector(
  options: StallDetectorOptions,
): StallDetector {
  let timer: NodeJS.Timeout | undefined;
  let report: NodeJS.Immediate | undefined;

  function check(): void {
    const remainingMs = options.remainingSilenceMs(options.backlogMs()) ?? 0;
    const isSilent = remainingMs <= MIN_WAIT_MS;
    timer = setTimeout(check, isSilent ? RECHECK_INTERVAL_MS : remainingMs);
    // Timers run before sockets are read: if the process was held up, what the
    // target has sent may still be waiting.
    if (isSilent) report = setImmediate(options.onSilence);
  }

  function stop(): void {
    clearTimeout(timer);
    clearImmediate(report);
  }

  return {
    reset() {
      stop();
      const remainingMs = options.remainingSilenceMs(0);
      if (remainingMs !== undefined) timer = setTimeout(check, remainingMs);
    },
    stop,
  };
}
