import type { CacheEvent } from '@endivegate/contracts';

/** Cache events retained for readers, who see dropped ones as a sequence gap. */
const KEPT_EVENTS = 8_192;

/** Increase of the sequence number at a crash; readers detect it as a gap. */
const CRASH_SEQUENCE_GAP = 1_000;

/** Prefix cache events as readers see them, delayed and with gaps. */
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
  /** Fraction of events that are never delivered. */
  readonly lossRate: number;
  /** Returns a uniform random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Creates a feed of cache events.
 *
 * @param options - Lag, loss rate and random number generator.
 * @returns The feed.
 */
export function createCacheFeed(options: CreateCacheFeedOptions): CacheFeed {
  let sequence = 0;
  let events: { readonly event: CacheEvent; readonly visibleAtMs: number }[] =
    [];

  return {
    publish: (change, prefixHash, nowMs) => {
      sequence += 1;
      if (options.random() < options.lossRate) return;
      events.push({
        event: { sequence, change, prefixHash },
        visibleAtMs: nowMs + options.lagMs,
      });
      if (events.length > 2 * KEPT_EVENTS) events = events.slice(-KEPT_EVENTS);
    },
    read: (afterSequence, nowMs) =>
      events
        .filter(
          ({ event, visibleAtMs }) =>
            event.sequence > afterSequence && visibleAtMs <= nowMs,
        )
        .map(({ event }) => event),
    reset: () => {
      sequence += CRASH_SEQUENCE_GAP;
      events = [];
    },
  };
}
