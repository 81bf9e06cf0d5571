import {
  TRANSMIT_LIMIT_BASE,
  TRANSMIT_LIMIT_PER_DECADE,
  PROBE_PERIOD_MS,
  SUSPICION_PERIODS_PER_DECADE,
} from './constants.ts';

/** Size of the fleet in factors of ten, at least one. */
function decadesOf(size: number): number {
  return Math.max(1, Math.log10(size));
}

/**
 * Returns how many times each member sends an update before it stops.
 *
 * @param size - Members in the fleet.
 */
export function transmitLimit(size: number): number {
  return (
    TRANSMIT_LIMIT_BASE +
    Math.ceil(TRANSMIT_LIMIT_PER_DECADE * Math.log10(size + 1))
  );
}

/**
 * Returns how long a member stays suspect before it is declared dead.
 *
 * @param size - Members in the fleet.
 */
export function suspicionTimeoutMs(size: number): number {
  return SUSPICION_PERIODS_PER_DECADE * decadesOf(size) * PROBE_PERIOD_MS;
}
