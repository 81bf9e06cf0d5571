/** Interval between probes, and timeout of a whole probe. */
export const PROBE_PERIOD_MS = 1_000;

/** Timeout of one probe round, after which an indirect round starts. */
export const PROBE_ROUND_MS = 300;

/** Maximum number of indirect rounds per probe. */
export const MAX_INDIRECT_ROUNDS = 2;

/** Members asked in each indirect round to probe a member that did not answer. */
export const INDIRECT_PROBES_PER_ROUND = 3;

/** Interval between gossip rounds while there are updates to send. */
export const GOSSIP_PERIOD_MS = 200;

/** Number of members contacted per gossip round. */
export const GOSSIP_FANOUT = 3;

/** Times that each member sends an update, regardless of the fleet size. */
export const TRANSMIT_LIMIT_BASE = 2;

/** Additional times per factor of ten in the fleet size. */
export const TRANSMIT_LIMIT_PER_DECADE = 3;

/** Suspicion timeout in probe periods, per factor of ten in the fleet size. */
export const SUSPICION_PERIODS_PER_DECADE = 3;

/** Interval between pings to dead members. */
export const DEAD_PROBE_PERIOD_MS = 2_000;

/**
 * Time after which a dead member is removed, unless the platform's list still
 * contains it.
 */
export const DEAD_RETENTION_MS = 3_600_000;

/**
 * Maximum health penalty. A penalty of n multiplies the probe timeouts by 1 + n.
 */
export const MAX_HEALTH_PENALTY = 4;

/** Refill rate of the gossip byte budget; all outgoing packets draw on it. */
export const GOSSIP_BYTES_PER_S = 1_536;

/** Capacity of the gossip byte budget, which bounds a burst. */
export const GOSSIP_BURST_BYTES = 6_144;

/** Maximum bytes of updates in a gossip packet; it fits in one Ethernet frame. */
export const MAX_GOSSIP_BYTES = 1_000;

/** Maximum bytes of updates piggybacked on a ping or ack. */
export const MAX_PIGGYBACK_BYTES = 300;

/**
 * Maximum number of suspicions that a ping offers for correction, and of
 * corrections that an ack carries.
 */
export const MAX_CORRECTED_UPDATES = 3;

/** Maximum bytes of known records added to a ping or ack to repair lost updates. */
export const MAX_REPAIR_BYTES = 120;

/** Interval between attempts of a new entry to fetch the member list. */
export const FETCH_PERIOD_MS = 2_000;

/** Number of members notified directly when this entry exits. */
export const EXIT_FANOUT = 8;
