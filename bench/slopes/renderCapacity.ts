import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { pathToFileURL } from 'node:url';
import { formatNumber, formatTable } from './formatTable.ts';
import { rolesTable } from './rolesTable.ts';
import type { FleetFigures } from '../fleet/measureFleet.ts';
import type { GrpcProbeFigures } from '../fleet/measureGrpcProbes.ts';
import type { RoleResult } from './main.ts';

const PAGES = ['docs/CAPACITY.md', 'docs/MEMBERSHIP.md'];
const SLOPES = 'bench/results/slopes.json';
const FLEET = 'bench/results/fleet.json';

/**
 * Writes the tables of measurements into the documentation pages, between their
 * markers.
 */
export function renderCapacity(): void {
  const slopes = (readJson(SLOPES) ?? []) as readonly RoleResult[];
  const { fleet, grpc } = (readJson(FLEET) ?? { fleet: [], grpc: [] }) as {
    readonly fleet: readonly FleetFigures[];
    readonly grpc: readonly GrpcProbeFigures[];
  };
  const tables: Readonly<Record<string, string>> = {
    roles: slopes.length === 0 ? '' : rolesTable(slopes, fleet),
    slopes: slopesTable(slopes),
    fleet: fleetTable(fleet),
    transport: transportTable(fleet, grpc),
  };
  PAGES.filter(existsSync).forEach((page) => {
    const text = Object.entries(tables).reduce(
      (done, [name, table]) =>
        done.replace(
          new RegExp(`(<!-- ${name}:begin -->)[^]*(<!-- ${name}:end -->)`),
          `$1\n\n${table}\n\n$2`,
        ),
      readFileSync(page, 'utf8'),
    );
    writeFileSync(page, text);
  });
}

function readJson(path: string): unknown {
  return existsSync(path) ? JSON.parse(readFileSync(path, 'utf8')) : undefined;
}

function slopesTable(results: readonly RoleResult[]): string {
  const rows = results.flatMap(
    ({ role, sizeName, targetSize, sizes, figures, fits }) =>
      Object.entries(fits).map(([name, { intercept, slope, residual }]) => [
        role,
        sizes.length > 1 ? `${sizes.join(', ')} ${sizeName}` : '-',
        name,
        figures.map((row) => formatNumber(row[name] ?? 0)).join(', '),
        formatNumber(intercept),
        formatNumber(slope),
        `${Math.round(100 * residual)}%`,
        formatNumber(intercept + slope * targetSize),
      ]),
  );
  return formatTable(
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
    formatNumber(f.packetsPerS),
    formatNumber(f.bytesPerS),
    formatNumber(f.cpuPercent),
    formatNumber(f.falseSuspicions),
    formatNumber(f.tableInForceMs),
    formatNumber(f.leavingKnownMs),
    formatNumber(f.firstSuspectMs),
    formatNumber(f.allSuspectMs),
    formatNumber(f.allDeadMs),
    `${f.centreLost.members}: ${formatNumber(f.centreLost.suspectP99Ms)} / ${formatNumber(f.centreLost.deadP99Ms)} / ${formatNumber(f.centreLost.unaware)}`,
    formatNumber(f.centreLost.bytesPerS),
    formatNumber(f.centreLost.cpuPercent),
  ]);
  return formatTable(
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

function transportTable(
  fleet: readonly FleetFigures[],
  grpc: readonly GrpcProbeFigures[],
): string {
  return formatTable(
    ['transport', 'members', 'B/s', 'CPU %', 'memory a connection, kB'],
    [
      ...fleet.map((f) => [
        'UDP',
        String(f.members),
        formatNumber(f.bytesPerS),
        formatNumber(f.cpuPercent),
        '-',
      ]),
      ...grpc.map((g) => [
        'gRPC',
        String(g.members),
        formatNumber(g.bytesPerS),
        formatNumber(g.cpuPercent),
        formatNumber(g.rssBytesPerConnection / 1_000),
      ]),
    ],
  );
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  renderCapacity();
}
