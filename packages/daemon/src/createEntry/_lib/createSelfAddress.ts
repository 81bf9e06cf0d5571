import type { EntryAddress, Settings } from '@endivegate/contracts';

/**
 * Creates an entry's own address from its settings.
 *
 * @param settings - Settings of the entry.
 * @param incarnation - Start time of the process, in ms since the epoch.
 * @returns The address with the ports of the settings, which may be 0.
 */
export function createSelfAddress(
  settings: Settings,
  incarnation: number,
): EntryAddress {
  return {
    entryId: settings.entryId,
    incarnation,
    region: settings.region,
    dataCentre: settings.dataCentre,
    host: settings.host,
    httpPort: settings.callers.port,
    peerPort: settings.peers.port,
  };
}
