import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { pathToFileURL } from 'node:url';
import type { FleetFigures } from '../fleet/measureFleet.ts';
import type { RoleResult } from './main.ts';

const PAGE = 'docs/CAPACITY.md';
const SLOPES = 'bench/results/slopes.json';
const FLEET = 'bench/results/fleet.json';

/** Writes the measured tables into the page, between their markers. */
export function renderCapacity(): void {
  if (!existsSync(PAGE)) return;
  const slopes = (readJson(SLOPES) ?? []) as readonly RoleResult[];
  const { fleet } = (readJson(FLEET) ?? { fleet: [] }) as {
    readonly fleet: readonly FleetFigures[];
  };
  const page = [
    ['slopes', slopesTable(slopes)],
    ['fleet', fleetTable(fleet)],
  ].reduce(
    (text, [name = '', table = '']) =>
      text.replace(
        new RegExp(`(<!-- ${name}:begin -->)[^]*(<!-- ${name}:end -->)`),
        `$1\n\n${table}\n\n$2`,
      ),
    readFileSync(PAGE, 'utf8'),
  );
  writeFileSync(PAGE, page);
}

function readJson(path: string): unknown {
  return existsSync(path) ? JSON.parse(readFileSync(path, 'utf8')) : undefined;
}

function table(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join(
    '\n',
  );
}

function number(value: number | null): string {
  if (value === null || Number.isNaN(value)) return 'not reached';
  const digits = Math.abs(value) >= 100 ? 0 : 3;
  return Number(value.toFixed(digits)).toLocaleString('en-GB', {
    maximumFractionDigits: 3,
  });
}

function slopesTable(results: readonly RoleResult[]): string {
  const rows = results.flatMap(
    ({ role, sizeName, targetSize, sizes, figures, fits }) =>
      Object.entries(fits).map(([name, { intercept, slope, residual }]) => [
        role,
        sizes.length > 1 ? `${sizes.join(', ')} ${sizeName}` : '-',
        name,
        figures.map((row) => number(row[name] ?? 0)).join(', '),
        number(intercept),
        number(slope),
        `${Math.round(100 * residual)}%`,
        number(intercept + slope * targetSize),
      ]),
  );
  return table(
    [
      'role',
      'sizes',
      'figure',
      'measured',
      'base',
      'per unit of size',
      'largest residual',
      'at the letter’s size',
    ],
    rows,
  );
}

function fleetTable(fleet: readonly FleetFigures[]): string {
  const rows = fleet.map((f) => [
    String(f.members),
    number(f.packetsPerS),
    number(f.bytesPerS),
    number(f.cpuPercent),
    number(f.falseSuspicions),
    number(f.tableInForceMs),
    number(f.leavingKnownMs),
    number(f.firstSuspectMs),
    number(f.allSuspectMs),
    number(f.allDeadMs),
    `${f.centreLost.members}: ${number(f.centreLost.suspectP99Ms)} / ${number(f.centreLost.deadP99Ms)} / ${number(f.centreLost.unaware)}`,
    number(f.centreLost.bytesPerS),
    number(f.centreLost.cpuPercent),
  ]);
  return table(
    [
      'members',
      'packets/s',
      'B/s in and out',
      'CPU %',
      'false suspicions',
      'table in force, ms',
      'leaving known, ms',
      'first suspicion, ms',
      'all suspect, ms',
      'all hold dead, ms',
      'data centre lost: members: suspect p99 / dead p99, ms / unaware pairs',
      'B/s meanwhile',
      'CPU % meanwhile',
    ],
    rows,
  );
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  renderCapacity();
}
