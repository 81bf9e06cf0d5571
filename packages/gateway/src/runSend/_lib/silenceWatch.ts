/** Cuts off a target that is silent for too long. */
export interface SilenceWatch {
  /** Begins to count anew: the target was heard. */
  readonly restart: () => void;
  readonly stop: () => void;
}

/** What a {@link SilenceWatch} asks and tells. */
export interface SilenceWatchOptions {
  /** Time left for a target with so much to read; undefined without a bound. */
  readonly leftMs: (backlogMs: number) => number | undefined;
  /** What the target has to read, which is worked out only when it matters. */
  readonly backlogMs: () => number;
  /** Whether a silence may be ended now; else it is borne a little longer. */
  readonly mayEnd: () => boolean;
  readonly onSilent: () => void;
}

/** Places elsewhere are looked for again after this: a few passes. */
const RECHECK_MS = 250;

/** A target that is to be borne for less than this is given up at once. */
const LEAST_WAIT_MS = 5;

/** Watches a target's silence; what it has to read can only lengthen it. */
export function createSilenceWatch(options: SilenceWatchOptions): SilenceWatch {
  let timer: NodeJS.Timeout | undefined;

  function check(): void {
    const leftMs = options.leftMs(options.backlogMs()) ?? 0;
    if (leftMs > LEAST_WAIT_MS) timer = setTimeout(check, leftMs);
    else if (options.mayEnd()) options.onSilent();
    else timer = setTimeout(check, RECHECK_MS);
  }

  return {
    restart() {
      clearTimeout(timer);
      const leftMs = options.leftMs(0);
      if (leftMs !== undefined) timer = setTimeout(check, leftMs);
    },
    stop() {
      clearTimeout(timer);
    },
  };
}
