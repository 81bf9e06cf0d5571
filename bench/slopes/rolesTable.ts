import type { FleetFigures } from '../fleet/measureFleet.ts';
import type { RoleResult } from './main.ts';
import { formatNumber, formatTable } from './formatTable.ts';

const ENTRIES = 370;
const ENGINES = 830;
const MODELS = 18;
const REQUESTS_PER_S = 8_400 / ENTRIES;
const EVENTS_PER_REQUEST = 6;
const CHANGES_PER_S = 480 / 86_400;

/** Period of the reads of the instance list by most entries. */
const LIST_PERIOD_S = 300;

/** The same by the two readers of a data centre. */
const READER_LIST_PERIOD_S = 2;

/** Reads of engines' load that an entry makes: 10, rarer beyond 100 engines. */
const LOAD_READS_PER_S = (10 * 100) / ENGINES;

/** Period of an entry's reports of demand, at 370 entries. */
const DEMAND_PERIOD_S = 11.1;

/** Period of the engine watcher's lists of reservations. */
const WATCH_PERIOD_S = 3;

const US_PER_PERCENT = 10_000;

interface RoleCost {
  readonly name: string;
  readonly stateBytes: number;
  readonly bytesPerS: number;
  readonly cpuPercent: number;
}

/** Adds up what each role costs at the size to design for. */
export function rolesTable(
  results: readonly RoleResult[],
  fleet: readonly FleetFigures[],
): string {
  const byRole = new Map(results.map((result) => [result.role, result]));
  const at = (role: string, figure: string): number => {
    const result = byRole.get(role);
    if (!result) return 0;
    const fit = result.fits[figure];
    return fit ? fit.intercept + fit.slope * result.targetSize : 0;
  };
  const slope = (role: string, figure: string): number =>
    byRole.get(role)?.fits[figure]?.slope ?? 0;
  const largest = fleet.at(-1);

  const duties: readonly RoleCost[] = [
    {
      name: 'membership',
      stateBytes: at('membership', 'stateBytes'),
      bytesPerS: largest?.bytesPerS ?? at('membership', 'bytesPerS'),
      cpuPercent: largest?.cpuPercent ?? 0,
    },
    {
      name: 'table held, changes installed',
      stateBytes: at('tableHolder', 'stateBytes'),
      bytesPerS: at('tableHolder', 'changedBytes') * CHANGES_PER_S,
      cpuPercent:
        (at('tableHolder', 'installCpuUs') * CHANGES_PER_S) / US_PER_PERCENT,
    },
    {
      name: 'decisions on requests (reducer)',
      stateBytes: at('requestsOpen', 'stateBytes'),
      bytesPerS: 0,
      cpuPercent:
        (at('targetsKnown', 'cpuUsPerRequest') * REQUESTS_PER_S) /
        US_PER_PERCENT,
    },
    {
      name: 'time line',
      stateBytes: at('timeline', 'stateBytes'),
      bytesPerS: 0,
      cpuPercent:
        (at('timeline', 'cpuUsPerEvent') *
          REQUESTS_PER_S *
          EVENTS_PER_REQUEST) /
        US_PER_PERCENT,
    },
    {
      name: 'instance list read',
      stateBytes: 0,
      bytesPerS: at('instanceList', 'bytesPerRead') / LIST_PERIOD_S,
      cpuPercent:
        at('instanceList', 'cpuUsPerRead') / LIST_PERIOD_S / US_PER_PERCENT,
    },
    {
      name: 'load reports read',
      stateBytes: 0,
      bytesPerS: slope('loadReads', 'bytes') * LOAD_READS_PER_S,
      cpuPercent:
        (slope('loadReads', 'cpuUs') * LOAD_READS_PER_S) / US_PER_PERCENT,
    },
    {
      name: 'engine watcher (2.2 engines)',
      stateBytes: 0,
      bytesPerS:
        ((ENGINES / ENTRIES) * at('reservationList', 'bytesPerList')) /
        WATCH_PERIOD_S,
      cpuPercent: 0,
    },
    {
      name: 'demand reported for 18 models',
      stateBytes: 0,
      bytesPerS: (MODELS / DEMAND_PERIOD_S) * slope('notifications', 'bytes'),
      cpuPercent:
        ((MODELS / DEMAND_PERIOD_S) * slope('notifications', 'cpuUs')) /
        US_PER_PERCENT,
    },
  ];
  const placing: RoleCost = {
    name: 'placing entry: demand received, beside the above',
    stateBytes: 0,
    bytesPerS: (ENTRIES / DEMAND_PERIOD_S) * slope('notifications', 'bytes'),
    cpuPercent:
      ((ENTRIES / DEMAND_PERIOD_S) * slope('notifications', 'cpuUs')) /
      US_PER_PERCENT,
  };
  const reader: RoleCost = {
    name: 'reader of the instance list, beside the above',
    stateBytes: 0,
    bytesPerS: at('instanceList', 'bytesPerRead') / READER_LIST_PERIOD_S,
    cpuPercent:
      at('instanceList', 'cpuUsPerRead') /
      READER_LIST_PERIOD_S /
      US_PER_PERCENT,
  };
  const sum: RoleCost = {
    name: 'plain entry: sum of the above',
    stateBytes: total(duties, 'stateBytes'),
    bytesPerS: total(duties, 'bytesPerS'),
    cpuPercent: total(duties, 'cpuPercent'),
  };
  const code = at('daemonLoaded', 'rssBytes') - at('nodeAlone', 'rssBytes');
  const rows = [...duties, sum, placing, reader].map((cost) => [
    cost.name,
    formatNumber(cost.stateBytes / 1_000_000),
    formatNumber(cost.bytesPerS),
    formatNumber(cost.cpuPercent),
  ]);
  return formatTable(
    ['duty', 'state, MB', 'B/s', 'CPU, % of a core'],
    [
      ...rows,
      [
        'code and libraries above idle Node (resident)',
        formatNumber(code / 1_000_000),
        '-',
        '-',
      ],
      ['budget', '32', '4,000', '3.3'],
    ],
  );
}

function total(
  costs: readonly RoleCost[],
  field: 'stateBytes' | 'bytesPerS' | 'cpuPercent',
): number {
  return costs.reduce((sum, cost) => sum + cost[field], 0);
}
