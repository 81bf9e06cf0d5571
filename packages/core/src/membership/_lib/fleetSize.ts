import {
  GOSSIP_COPIES_BASE,
  GOSSIP_COPIES_PER_DECADE,
  PROBE_PERIOD_MS,
  SUSPICION_PERIODS_PER_DECADE,
} from './constants.ts';

function decades(size: number): number {
  return Math.max(1, Math.log10(size));
}

/**
 * Returns how many copies of an update each member sends.
 *
 * @param size - Members in the fleet.
 */
export function copiesFor(size: number): number {
  return (
    GOSSIP_COPIES_BASE +
    Math.ceil(GOSSIP_COPIES_PER_DECADE * Math.log10(size + 1))
  );
}

/**
 * Returns how long a member is suspected before it counts as dead.
 *
 * @param size - Members in the fleet.
 */
export function suspicionMs(size: number): number {
  return SUSPICION_PERIODS_PER_DECADE * decades(size) * PROBE_PERIOD_MS;
}
