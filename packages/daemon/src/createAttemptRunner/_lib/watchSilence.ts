/** Checks per silence timeout; a silence is seen at most this share late. */
const CHECKS_PER_TIMEOUT = 4;

/** Watches for a wait that grows too long. */
export interface SilenceWatch {
  /** The connection was asked for its next item. */
  readonly waiting: () => void;
  /** An item came, or none is wanted now. */
  readonly idle: () => void;
  readonly stop: () => void;
}

/** Options of {@link watchSilence}. */
export interface WatchSilenceOptions {
  readonly timeoutMs: number;
  /** Called each time a wait has lasted another full timeout. */
  readonly onSilence: () => void;
  readonly nowMs?: () => number;
}

/**
 * Starts to watch a connection for silence with one timer.
 *
 * @param options - Timeout and what to call.
 * @returns The watch, waiting at first; stop it when the connection ends.
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
