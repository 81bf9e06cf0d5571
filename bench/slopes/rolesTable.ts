import type { FleetFigures } from '../fleet/measureFleet.ts';
import type { RoleResult } from './main.ts';
import { formatNumber, formatTable } from './formatTable.ts';

const ENTRIES = 370;
const ENGINES = 830;
const MODELS = 18;
const REQUESTS_PER_S = 8_400 / ENTRIES;
const EVENTS_PER_REQUEST = 6;
const CHANGES_PER_S = 480 / 86_400;

/** Interval at which most entries read the instance list. */
const LIST_PERIOD_S = 300;

/**
 * Interval at which the two designated readers of a data centre read the
 * instance list.
 */
const READER_LIST_PERIOD_S = 2;

/**
 * Load reads per second by one entry: 10, and fewer in proportion beyond 100
 * engines.
 */
const LOAD_READS_PER_S = (10 * 100) / ENGINES;

/** Interval of the demand reports of one entry in a fleet of 370. */
const DEMAND_PERIOD_S = 11.1;

/** Interval at which an engine watcher lists reservations. */
const WATCH_PERIOD_S = 3;

const US_PER_PERCENT = 10_000;

interface RoleCost {
  readonly name: string;
  readonly stateBytes: number;
  readonly bytesPerS: number;
  readonly cpuPercent: number;
}

/**
 * Formats a table of the cost of each role, and their sum, at the fleet size to
 * design for.
 */
export function rolesTable(
  results: readonly RoleResult[],
  fleet: readonly FleetFigures[],
): string {
  const byRole = new Map(results.map((result) => [result.role, result]));
  const atTargetSize = (role: string, figure: string): number => {
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
      stateBytes: atTargetSize('membership', 'stateBytes'),
      bytesPerS: largest?.bytesPerS ?? atTargetSize('membership', 'bytesPerS'),
      cpuPercent: largest?.cpuPercent ?? 0,
    },
    {
      name: 'table held, changes installed',
      stateBytes: atTargetSize('tableHolder', 'stateBytes'),
      bytesPerS: atTargetSize('tableHolder', 'changedBytes') * CHANGES_PER_S,
      cpuPercent:
        (atTargetSize('tableHolder', 'installCpuUs') * CHANGES_PER_S) /
        US_PER_PERCENT,
    },
    {
      name: 'decisions on requests (reducer)',
      stateBytes: atTargetSize('requestsOpen', 'stateBytes'),
      bytesPerS: 0,
      cpuPercent:
        (atTargetSize('targetsKnown', 'cpuUsPerRequest') * REQUESTS_PER_S) /
        US_PER_PERCENT,
    },
    {
      name: 'time line',
      stateBytes: atTargetSize('timeline', 'stateBytes'),
      bytesPerS: 0,
      cpuPercent:
        (atTargetSize('timeline', 'cpuUsPerEvent') *
          REQUESTS_PER_S *
          EVENTS_PER_REQUEST) /
        US_PER_PERCENT,
    },
    {
      name: 'instance list read',
      stateBytes: 0,
      bytesPerS: atTargetSize('instanceList', 'bytesPerRead') / LIST_PERIOD_S,
      cpuPercent:
        atTargetSize('instanceList', 'cpuUsPerRead') /
        LIST_PERIOD_S /
        US_PER_PERCENT,
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
        ((ENGINES / ENTRIES) *
          atTargetSize('reservationList', 'bytesPerList')) /
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
    bytesPerS:
      atTargetSize('instanceList', 'bytesPerRead') / READER_LIST_PERIOD_S,
    cpuPercent:
      atTargetSize('instanceList', 'cpuUsPerRead') /
      READER_LIST_PERIOD_S /
      US_PER_PERCENT,
  };
  const sum: RoleCost = {
    name: 'plain entry: sum of the above',
    stateBytes: total(duties, 'stateBytes'),
    bytesPerS: total(duties, 'bytesPerS'),
    cpuPercent: total(duties, 'cpuPercent'),
  };
  const code =
    atTargetSize('daemonLoaded', 'rssBytes') -
    atTargetSize('nodeAlone', 'rssBytes');
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
