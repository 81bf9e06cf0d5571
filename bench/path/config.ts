import type { InstanceList } from '@endivegate/contracts';
import { TRIAL_MODEL } from '../_lib/trialSystem.ts';

/** Settings of the only entry in the benchmark. */
export const entrySettings = {
  entryId: 'entry-1',
  region: 'region-1',
  dataCentre: 'dc-1',
  host: '127.0.0.1',
  callers: { port: 8_301 },
  operators: { port: 8_311, token: { env: 'ENDIVEGATE_OPERATOR_TOKEN' } },
  peers: { port: 8_321 },
  platform: { url: 'http://127.0.0.1:4300' },
  log: { level: 'warn' },
};

/** Port of the first engine; the others use the ports after it. */
export const FIRST_ENGINE_PORT = 4_301;

/**
 * Returns the instance list of the benchmark.
 *
 * @param engines - Number of engines.
 * @returns A list with the engines as targets and no entries.
 */
export function instanceListOf(engines: number): InstanceList {
  return {
    entries: [],
    targets: Array.from({ length: engines }, (_, index) => ({
      targetId: `engine-${index + 1}`,
      targetKind: 'engine',
      url: `http://127.0.0.1:${FIRST_ENGINE_PORT + index}`,
      region: 'region-1',
      dataCentre: 'dc-1',
      serves: [TRIAL_MODEL],
      kvCapacityTokens: 400_000,
      checksFencing: true,
      hasKeyLookup: false,
      leaving: false,
    })),
  };
}
