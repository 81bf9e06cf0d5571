/**
 * Measures how the cost of each role of an entry grows with its size. Each
 * measurement runs in a process of its own.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { fitLine, type LineFit } from './fitLine.ts';
import type { Figures } from './figures.ts';
import { ROLES } from './roles.ts';

/**
 * Measurements of a role at all sizes, and a linear fit of each over the size.
 */
export interface RoleResult {
  readonly role: string;
  readonly sizeName: string;
  readonly targetSize: number;
  readonly sizes: readonly number[];
  readonly figures: readonly Figures[];
  readonly fits: Readonly<Record<string, LineFit>>;
}

const RESULTS = 'bench/results/slopes.json';

function resolvePath(name: string): string {
  return fileURLToPath(new URL(name, import.meta.url));
}

async function runInChildProcess(role: string, size: number): Promise<Figures> {
  const child =
    role === 'nodeAlone' || role === 'daemonLoaded'
      ? fork(
          resolvePath('./idle.mjs'),
          role === 'nodeAlone' ? [] : ['@endivegate/daemon'],
          { execArgv: [] },
        )
      : fork(resolvePath('./child.ts'), [role, String(size)], {
          execArgv: [
            '--expose-gc',
            '--conditions=endivegate-source',
            '--import=tsx',
          ],
        });
  const [figures] = (await once(child, 'message')) as [Figures];
  child.kill();
  return figures;
}

async function measureRole(role: string): Promise<RoleResult> {
  const { sizeName, sizes, targetSize } = ROLES[role]!;
  const figures: Figures[] = [];
  for (const size of sizes) figures.push(await runInChildProcess(role, size));
  const names = Object.keys(figures[0] ?? {});
  const fits = Object.fromEntries(
    names.map((name) => [
      name,
      fitLine(sizes.map((size, at) => [size, figures[at]?.[name] ?? 0])),
    ]),
  );
  process.stdout.write(`${role}\n`);
  console.table(figures.map((row, at) => ({ size: sizes[at], ...row })));
  return { role, sizeName, targetSize, sizes, figures, fits };
}

async function main(): Promise<void> {
  const results: RoleResult[] = [];
  for (const role of Object.keys(ROLES)) results.push(await measureRole(role));
  mkdirSync('bench/results', { recursive: true });
  writeFileSync(RESULTS, `${JSON.stringify(results, null, 2)}\n`);
  process.exit(0);
}

void main();
