import type { CacheEvent } from '@endivegate/contracts';

/** Cache events kept for readers; older ones become a gap. */
const KEPT_EVENTS = 8_192;

/** Jump of the sequence number at a crash, seen by readers as a gap. */
const CRASH_SEQUENCE_GAP = 1_000;

/** Prefix cache events as readers see them: late and with gaps. */
export interface CacheFeed {
  readonly publish: (
    change: CacheEvent['change'],
    prefixHash: string,
    nowMs: number,
  ) => void;
  readonly read: (
    afterSequence: number,
    nowMs: number,
  ) => readonly CacheEvent[];
  readonly reset: () => void;
}

/** Options of {@link createCacheFeed}. */
export interface CreateCacheFeedOptions {
  readonly lagMs: number;
  /** Share of events that are never shown. */
  readonly lossRate: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Creates a feed of cache events.
 *
 * @param options - Lag, loss and the source of randomness.
 * @returns The feed.
 */
export function createCacheFeed(options: CreateCacheFeedOptions): CacheFeed {
  let sequence = 0;
  let events: { readonly event: CacheEvent; readonly shownAtMs: number }[] = [];

  return {
    publish: (change, prefixHash, nowMs) => {
      sequence += 1;
      if (options.random() < options.lossRate) return;
      events.push({
        event: { sequence, change, prefixHash },
        shownAtMs: nowMs + options.lagMs,
      });
      if (events.length > 2 * KEPT_EVENTS) events = events.slice(-KEPT_EVENTS);
    },
    read: (afterSequence, nowMs) =>
      events
        .filter(
          ({ event, shownAtMs }) =>
            event.sequence > afterSequence && shownAtMs <= nowMs,
        )
        .map(({ event }) => event),
    reset: () => {
      sequence += CRASH_SEQUENCE_GAP;
      events = [];
    },
  };
}
