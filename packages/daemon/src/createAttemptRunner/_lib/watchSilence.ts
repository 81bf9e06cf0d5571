/**
 * Number of checks per timeout. Silence is detected at most one check interval,
 * a quarter of the timeout, late.
 */
const CHECKS_PER_TIMEOUT = 4;

/** Detects that a connection has delivered no item for too long. */
export interface SilenceWatch {
  /** Starts measuring: the next item of the connection was requested. */
  readonly waiting: () => void;
  /** Stops measuring: an item arrived, or no item is requested now. */
  readonly idle: () => void;
  /** Stops the timer for good. */
  readonly stop: () => void;
}

/** Options of {@link watchSilence}. */
export interface WatchSilenceOptions {
  readonly timeoutMs: number;
  /** Called each time another full timeout has passed without an item. */
  readonly onSilence: () => void;
  readonly nowMs?: () => number;
}

/**
 * Watches a connection for silence, using a single timer.
 *
 * @param options - The timeout and the callback.
 * @returns The watch, which starts measuring at once. Stop it when the
 *   connection ends.
 */
export function watchSilence(options: WatchSilenceOptions): SilenceWatch {
  const nowMs = options.nowMs ?? (() => performance.now());
  let waitingSinceMs: number | undefined = nowMs();
  const timer = setInterval(() => {
    if (waitingSinceMs === undefined) return;
    if (nowMs() - waitingSinceMs < options.timeoutMs) return;
    waitingSinceMs = nowMs();
    options.onSilence();
  }, options.timeoutMs / CHECKS_PER_TIMEOUT);
  return {
    waiting: () => {
      waitingSinceMs = nowMs();
    },
    idle: () => {
      waitingSinceMs = undefined;
    },
    stop: () => {
      clearInterval(timer);
    },
  };
}
