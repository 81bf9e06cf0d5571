/** Time between two probes of a member, and time a probe may take in all. */
export const PROBE_PERIOD_MS = 1_000;

/** Time for an answer, after which other members are asked to probe. */
export const PROBE_ROUND_MS = 300;

/** Rounds in which other members are asked. */
export const INDIRECT_ROUNDS = 2;

/** Members asked in each round to probe one that did not answer. */
export const INDIRECT_PROBES = 3;

/** Time between two gossip rounds while there is something to spread. */
export const GOSSIP_PERIOD_MS = 200;

/** Members that a gossip round sends to. */
export const GOSSIP_FANOUT = 3;

/** Copies of an update that each member sends, whatever the fleet's size. */
export const GOSSIP_COPIES_BASE = 2;

/** Further copies per decade of the fleet's size. */
export const GOSSIP_COPIES_PER_DECADE = 3;

/** Probe periods that a suspicion lasts, per decade of the fleet's size. */
export const SUSPICION_PERIODS_PER_DECADE = 3;

/** Time between two pings to members that are counted as dead. */
export const DEAD_PROBE_PERIOD_MS = 2_000;

/** Time for which a dead member stays known, unless the list still names it. */
export const DEAD_RETENTION_MS = 3_600_000;

/** Largest slowdown of a member that doubts its own health. */
export const MAX_HEALTH_PENALTY = 4;

/** Outgoing bytes a second that gossip may fill up. */
export const GOSSIP_BYTES_PER_S = 1_536;

/** Outgoing bytes that gossip may save up for a burst. */
export const GOSSIP_BURST_BYTES = 6_144;

/** Bytes of updates in a gossip packet, below one Ethernet frame. */
export const MAX_GOSSIP_BYTES = 1_000;

/** Bytes of updates on pings and acks. */
export const MAX_PIGGYBACK_BYTES = 300;

/** Records on a ping or ack that the receiver is asked to, or did, correct. */
export const MAX_CHECKED_RECORDS = 3;

/** Bytes of known records that repair lost updates, on pings and acks. */
export const REPAIR_BYTES = 120;

/** Time between two attempts of a new entry to fetch the members. */
export const FETCH_PERIOD_MS = 2_000;

/** Members told directly that this entry exits. */
export const FAREWELL_FANOUT = 8;
