/** How often an entry tells its peers, and for how long its news hold. */
export interface PeerTimes {
  /** Longest pause between two messages of an entry. */
  readonly heartbeatMs: number;
  /** An entry unheard for this long is told to no caller. */
  readonly silenceMs: number;
  /** Requests that an entry told of are taken to be in flight for this long. */
  readonly loadLifetimeMs: number;
}

/** Pause in a small fleet: callers keep addresses for a second. */
const SHORTEST_HEARTBEAT_MS = 350;

/** Callers bear an address that fails for a second before they take another. */
const LONGEST_HEARTBEAT_MS = 1000;

/** Messages that an entry receives grow with the fleet; their pause grows with
 * it too, so that 80 heartbeats a second are received at most until it ends. */
const HEARTBEAT_MS_PER_ENTRY = 12.5;

/** Two messages may be lost, and one may be late. */
const SILENT_BEATS = 3;
const LATE_MS = 200;

/** News of requests outlast the silence by a beat, since a target stays busy
 * with requests whose entry is gone. */
const LOAD_BEATS = 4;

/**
 * Returns the times that entries keep among each other.
 *
 * @param entries - Entries of the fleet, this one included.
 * @returns The times in milliseconds.
 *
 * @example
 * peerTimes(72).heartbeatMs; // 900
 */
export function peerTimes(entries: number): PeerTimes {
  const heartbeatMs = Math.min(
    Math.max(entries * HEARTBEAT_MS_PER_ENTRY, SHORTEST_HEARTBEAT_MS),
    LONGEST_HEARTBEAT_MS,
  );
  return {
    heartbeatMs,
    silenceMs: SILENT_BEATS * heartbeatMs + LATE_MS,
    loadLifetimeMs: LOAD_BEATS * heartbeatMs + LATE_MS / 2,
  };
}
