/** Decides when a queue is looked at. */
export interface DrainTimer {
  /** Capacity may have become free. */
  readonly soon: () => void;
  /** Runs the timer only while requests wait. */
  readonly setActive: (isActive: boolean) => void;
  readonly close: () => void;
}

/** Options of {@link createDrainTimer}. */
export interface CreateDrainTimerOptions {
  readonly drain: () => void;
  readonly now: () => number;
  /** Returns a number uniform in [0, 1), to look at different times than peers. */
  readonly random: () => number;
}

/** Changes that no event reports, such as the end of a pause, are noticed within
 * this time. */
const DRAIN_INTERVAL_MS = 25;

/** Entries look at freed capacity at different times within this interval, which is
 * twice the time until peers learn of a send. */
const DRAIN_SPREAD_MS = 8;

/** Looking at the queue takes at most one part in this many of the processor, since
 * peers report their load up to hundreds of times a second. */
const MIN_IDLE_FACTOR = 10;

/** Creates the timer of a queue. */
export function createDrainTimer(options: CreateDrainTimerOptions): DrainTimer {
  const { now, random } = options;
  let ticker: NodeJS.Timeout | undefined;
  let next: NodeJS.Timeout | undefined;
  let notBeforeMs = -Infinity;

  function run(): void {
    const beganAtMs = now();
    if (beganAtMs < notBeforeMs) return;
    options.drain();
    const endedAtMs = now();
    notBeforeMs = endedAtMs + (endedAtMs - beganAtMs) * MIN_IDLE_FACTOR;
  }

  function stopTicker(): void {
    clearInterval(ticker);
    ticker = undefined;
  }

  return {
    soon() {
      if (next !== undefined) return;
      const delayMs = Math.max(random() * DRAIN_SPREAD_MS, notBeforeMs - now());
      next = setTimeout(() => {
        next = undefined;
        run();
      }, delayMs);
    },
    setActive(isActive) {
      if (isActive) ticker ??= setInterval(run, DRAIN_INTERVAL_MS);
      else stopTicker();
    },
    close() {
      stopTicker();
      clearTimeout(next);
    },
  };
}
