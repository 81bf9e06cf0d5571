import type { EntryAddress, Settings } from '@endivegate/contracts';

/**
 * Builds an entry's own address from its settings.
 *
 * @param settings - Settings of the entry.
 * @param incarnation - Start of the process, in ms since the epoch.
 * @returns The address; its ports are those of the settings, maybe 0.
 */
export function describeSelf(
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
