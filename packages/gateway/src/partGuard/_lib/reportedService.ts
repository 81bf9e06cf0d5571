import { shortName } from '../../shortName/index.ts';

/** Builds of protocol version 1 read names of this length. */
const MAX_SERVICE_BYTES = 128;

/** Returns the name of a service in reports on parts. */
export function reportedService(name: string): string {
  return shortName(name, MAX_SERVICE_BYTES);
}
