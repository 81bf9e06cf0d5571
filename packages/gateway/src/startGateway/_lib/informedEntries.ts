import {
  commonVersion,
  evacuatedDataCentres,
  type GatewayState,
  type PeerStatus,
} from '@endivegate/core/forwarding';

/** Entries of earlier builds keep sending to evacuated data centres. */
const EVACUATION_VERSION = 1;

/**
 * Leaves out entries that do not know of evacuations, while one is in force.
 *
 * @param state - State of the gateway.
 * @param entries - Entries that could be named to callers.
 * @returns The entries that know, or all if none does.
 */
export function informedEntries(
  { evacuations }: Pick<GatewayState, 'evacuations'>,
  entries: readonly PeerStatus[],
): readonly PeerStatus[] {
  if (evacuatedDataCentres(evacuations).length === 0) return entries;
  const informed = entries.filter(
    (entry) => commonVersion(entry) >= EVACUATION_VERSION,
  );
  return informed.length > 0 ? informed : entries;
}
