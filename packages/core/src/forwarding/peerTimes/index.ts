/** Heartbeat interval between entries, and the timeouts derived from it. */
export interface PeerTimes {
  /** Longest interval between two messages of an entry. */
  readonly heartbeatMs: number;
  /** An entry that was silent for this long is not advertised to callers. */
  readonly silenceMs: number;
  /** Requests that an entry reported count as in flight for this long. */
  readonly loadLifetimeMs: number;
}

/** Interval in a small fleet. Callers cache entry addresses for one second. */
const MIN_HEARTBEAT_MS = 350;

/** Callers use a failing address for one second before they switch to another. */
const MAX_HEARTBEAT_MS = 1000;

/** An entry receives more messages in a larger fleet, so the interval grows with
 * it: until the maximum is reached, an entry receives at most 80 heartbeats per
 * second. */
const HEARTBEAT_MS_PER_ENTRY = 12.5;

/** An entry counts as silent only after two lost heartbeats and a delayed one. */
const SILENCE_HEARTBEATS = 3;
const DELIVERY_DELAY_MS = 200;

/** Reported requests are kept about one heartbeat longer than the silence
 * timeout, because a target stays busy with requests whose entry is gone. */
const LOAD_LIFETIME_HEARTBEATS = 4;

/**
 * Returns the heartbeat interval and timeouts for a fleet size.
 *
 * @param entries - Number of entries in the fleet, including this one.
 * @returns The interval and timeouts in milliseconds.
 *
 * @example
 * peerTimes(72).heartbeatMs; // 900
 */
export function peerTimes(entries: number): PeerTimes {
  const heartbeatMs = Math.min(
    Math.max(entries * HEARTBEAT_MS_PER_ENTRY, MIN_HEARTBEAT_MS),
    MAX_HEARTBEAT_MS,
  );
  return {
    heartbeatMs,
    silenceMs: SILENCE_HEARTBEATS * heartbeatMs + DELIVERY_DELAY_MS,
    loadLifetimeMs:
      LOAD_LIFETIME_HEARTBEATS * heartbeatMs + DELIVERY_DELAY_MS / 2,
  };
}
