/** When the events of a stream came. */
export interface EventTimes {
  /** Notes an event; returns the pause before it, undefined for the first one. */
  readonly note: (atMs: number) => number | undefined;
  readonly count: () => number;
  /** Time since the last event, or since the start. */
  readonly silentMs: (atMs: number) => number;
  /** 0 before the second event. */
  readonly longestGapMs: () => number;
  /** Undefined until there are enough pauses to judge a pace from. */
  readonly usualGapMs: () => number | undefined;
}

/** Pauses from which an engine's pace is judged. */
const LEAST_GAPS = 4;

/** Keeps the times of a stream's events, in ms of one clock. */
export function createEventTimes(startedAtMs: number): EventTimes {
  const gapsMs: number[] = [];
  let events = 0;
  let lastAtMs = startedAtMs;
  return {
    note(atMs) {
      const gapMs = events === 0 ? undefined : atMs - lastAtMs;
      if (gapMs !== undefined) gapsMs.push(gapMs);
      events += 1;
      lastAtMs = atMs;
      return gapMs;
    },
    count: () => events,
    silentMs: (atMs) => atMs - lastAtMs,
    longestGapMs: () => Math.max(0, ...gapsMs),
    usualGapMs: () =>
      gapsMs.length < LEAST_GAPS
        ? undefined
        : gapsMs.toSorted((a, b) => a - b)[gapsMs.length >> 1],
  };
}
