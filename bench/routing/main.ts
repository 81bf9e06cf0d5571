import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { lengthClassOf } from '@endivegate/contracts';
import {
  IKIGEGA,
  makeTrace,
  MZANSI,
  rowsOf,
  type TraceMix,
  type TraceRequest,
} from './makeTrace/index.ts';
import type { BenchRow } from './benchRow.ts';
import { measure } from './measure/index.ts';
import { plotResults } from './plotResults/index.ts';
import { POLICIES } from './policies.ts';
import { replay, type Policy } from './replay/index.ts';

const HELP = `Usage: npm run bench:routing -- [options]

Replays seeded traces against the routing policy and the baselines.

  --loads LIST      Loads in percent, comma separated (50,70,100,150)
  --mixes LIST      ikigega, mzansi (both)
  --policies LIST   Policies to run (all)
  --seconds N       Duration of a trace (300)
  --seed N          Seed of traces and replays (1)
  --out DIR         Directory of results (bench/out/routing)
  --help            This text
`;

const FLEET = { engines: 25, entries: 6, dataCentres: 3 };

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      loads: { type: 'string', default: '50,70,100,150' },
      mixes: { type: 'string', default: 'ikigega,mzansi' },
      policies: { type: 'string' },
      seconds: { type: 'string', default: '300' },
      seed: { type: 'string', default: '1' },
      out: { type: 'string', default: 'bench/out/routing' },
      help: { type: 'boolean', default: false },
    },
  });
  if (values.help) {
    process.stdout.write(HELP);
    return;
  }
  const wanted = values.policies?.split(',');
  const policies = POLICIES.filter(
    ({ name }) => wanted?.includes(name) ?? true,
  );
  const mixes = [IKIGEGA, MZANSI].filter(({ name }) =>
    values.mixes.split(',').includes(name),
  );
  const rows = mixes.flatMap((mix) =>
    values.loads.split(',').flatMap((percent) =>
      policies.map((policy) => {
        const row = runPolicy(mix, policy, {
          loadPercent: Number(percent),
          durationMs: Number(values.seconds) * 1_000,
          seed: Number(values.seed),
        });
        process.stdout.write(`${formatRow(row)}\n`);
        return row;
      }),
    ),
  );
  await mkdir(values.out, { recursive: true });
  await writeFile(
    join(values.out, 'results.json'),
    `${JSON.stringify({ fleet: FLEET, options: values, rows }, null, 2)}\n`,
  );
  await writeFile(join(values.out, 'firstToken.svg'), plotResults(rows));
}

function runPolicy(
  mix: TraceMix,
  policy: Policy,
  options: {
    readonly loadPercent: number;
    readonly durationMs: number;
    readonly seed: number;
  },
): BenchRow {
  const { loadPercent, durationMs, seed } = options;
  const trace = makeTrace({
    mix,
    load: loadPercent / 100,
    engines: FLEET.engines,
    durationMs,
    seed,
  });
  const measureReplay = (requests: readonly TraceRequest[]) =>
    measure(replay(requests, { policy, rows: rowsOf(mix), seed, ...FLEET }));
  const measures = measureReplay(trace);
  const withoutLongPrompts = measureReplay(
    trace.filter((request) => !isLong(request)),
  );
  const mixedP95Ms = measures.byClass.short.p95Ms;
  const shortOnlyP95Ms = withoutLongPrompts.byClass.short.p95Ms;
  return {
    mix: mix.name,
    loadPercent,
    policy: policy.name,
    measures,
    blocking:
      mixedP95Ms && shortOnlyP95Ms ? mixedP95Ms / shortOnlyP95Ms : undefined,
  };
}

function isLong({ promptTokens }: TraceRequest): boolean {
  return ['long', 'huge'].includes(lengthClassOf(promptTokens));
}

function formatRow({
  mix,
  loadPercent,
  policy,
  measures,
  blocking,
}: BenchRow): string {
  const { byClass, refusals } = measures;
  const classes = Object.entries(byClass).map(([name, one]) => {
    const p95 = one.p95Ms === undefined ? '-' : (one.p95Ms / 1_000).toFixed(2);
    return `${name} ${p95}s ${one.answered}/${one.requests}`;
  });
  return [
    `${mix} ${loadPercent}% ${policy.padEnd(14)}`,
    `goodput ${(measures.goodput * 100).toFixed(1)}%`,
    `blocking ${blocking?.toFixed(2) ?? '-'}`,
    ...classes,
    `late ${measures.late}`,
    `fair ${measures.fairness.toFixed(3)}`,
    `kvLeft ${measures.kvLeftTokens}`,
    JSON.stringify(refusals),
  ].join(' | ');
}

await main();
