/** Arrival times of a stream's events. */
export interface EventTimes {
  /**
   * Records an event. Returns the gap before it, or undefined for the first.
   */
  readonly note: (atMs: number) => number | undefined;
  /** Counts the silence, and the gap to the next event, from now on. */
  readonly restart: (atMs: number) => void;
  readonly eventCount: () => number;
  /** Time since the last event, or since the start if there was none. */
  readonly silenceMs: (atMs: number) => number;
  /** Longest gap between two events; 0 before the second event. */
  readonly longestGapMs: () => number;
  /**
   * Median of the latest {@link MAX_KEPT_GAPS} gaps; undefined until there are
   * {@link MIN_GAPS_FOR_MEDIAN}.
   */
  readonly medianGapMs: () => number | undefined;
}

/** Gaps needed to estimate an engine's decoding speed. */
const MIN_GAPS_FOR_MEDIAN = 4;

/** Latest gaps that are kept for the median. */
const MAX_KEPT_GAPS = 4096;

/** Creates a recorder of event arrival times, in ms of a monotonic clock. */
export function createEventTimes(startedAtMs: number): EventTimes {
  const gapsMs: number[] = [];
  let events = 0;
  let lastAtMs = startedAtMs;
  let longestGapMs = 0;
  return {
    note(atMs) {
      const gapMs = events === 0 ? undefined : atMs - lastAtMs;
      if (gapMs !== undefined) {
        gapsMs[(events - 1) % MAX_KEPT_GAPS] = gapMs;
        longestGapMs = Math.max(longestGapMs, gapMs);
      }
      events += 1;
      lastAtMs = atMs;
      return gapMs;
    },
    restart(atMs) {
      lastAtMs = atMs;
    },
    eventCount: () => events,
    silenceMs: (atMs) => atMs - lastAtMs,
    longestGapMs: () => longestGapMs,
    medianGapMs: () =>
      gapsMs.length < MIN_GAPS_FOR_MEDIAN
        ? undefined
        : gapsMs.toSorted((a, b) => a - b)[gapsMs.length >> 1],
  };
}
