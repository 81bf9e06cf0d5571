import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import {
  checkHistory,
  HISTORY_RULES,
  type HistoryEvent,
  type HistoryViolation,
} from '@endivegate/core';
import { createRandom } from '@endivegate/stand-ins';
import { Agent } from 'undici';
import { paceCalls } from '../_lib/paceCalls.ts';
import { createCallers } from './createCallers.ts';
import { createRecorder, type Recorder } from './createRecorder.ts';
import { FAULT_KINDS, type FaultKind, injectFault } from './injectFaults.ts';
import { type FaultSystem, startSystem } from './startSystem.ts';

const HELP = `Usage: npm run bench:faults -- [options]

Runs three entries with stand-ins for targets and platform, injects seeded
faults and checks the recorded history.

  --runs N        Number of runs; each uses the next seed (3)
  --seed N        Seed of the first run (1)
  --seconds N     Duration of load and faults in each run (20)
  --faults LIST   Kinds to inject, comma separated; "none" for none (all)
  --first-port N  First port of the entries (8401)
  --out DIR       Directory of results and logs (bench/out/faults)
  --help          This text

Exit codes: 0 no violations, 1 violations or a failed run
`;

const PROMPTS_PER_SECOND = 15;
const PAYOUTS_PER_SECOND = 3;
const FAULT_INTERVAL_MS = 1_500;
const MEMORY_WAIT_MS = 11_000;
const MS_PER_SECOND = 1_000;

/** Result of one run, with its recorded history. */
interface FaultRun {
  readonly seed: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly history: readonly HistoryEvent[];
  readonly violations: readonly HistoryViolation[];
}

async function injectAll(
  system: FaultSystem,
  options: {
    readonly kinds: readonly FaultKind[];
    readonly durationMs: number;
    readonly random: () => number;
  },
): Promise<Readonly<Record<string, number>>> {
  const { kinds, random } = options;
  const endAtMs = performance.now() + options.durationMs;
  const injections: Promise<void>[] = [];
  const counts: Record<string, number> = {};
  let offset = Math.floor(random() * kinds.length);
  while (performance.now() < endAtMs && kinds.length > 0) {
    // Cycles through all kinds, so that a few runs cover each of them.
    const kind = kinds[offset % kinds.length];
    offset += 1;
    if (kind) {
      counts[kind] = (counts[kind] ?? 0) + 1;
      injections.push(injectFault(kind, system, random));
    }
    await sleep(FAULT_INTERVAL_MS * (0.5 + random()));
  }
  await Promise.all(injections);
  return counts;
}

async function sampleMemory(
  system: FaultSystem,
  recorder: Recorder,
): Promise<void> {
  await sleep(MEMORY_WAIT_MS);
  system.engines.forEach(({ model, target }) => {
    recorder.add({
      type: 'target.memory',
      atMs: performance.now(),
      targetId: target.targetId,
      reservedTokens: model.usedKvTokens(),
    });
  });
}

async function run(options: {
  readonly seed: number;
  readonly kinds: readonly FaultKind[];
  readonly durationMs: number;
  readonly outDir: string;
  readonly firstPort: number;
}): Promise<FaultRun> {
  const { seed, durationMs } = options;
  const recorder = createRecorder();
  const random = createRandom(seed);
  const dispatcher = new Agent({ connections: null, pipelining: 1 });
  const system = await startSystem({
    seed,
    recorder,
    firstPort: options.firstPort,
    outDir: join(options.outDir, `seed-${seed}`),
  });
  try {
    const { entries } = system;
    const callers = createCallers({ recorder, entries, dispatcher, random });
    const faults = injectAll(system, {
      ...options,
      random: createRandom(seed + 1_000),
    });
    const poison = sleep(durationMs / 2).then(() =>
      options.kinds.length === 0
        ? undefined
        : callers.sendPrompt(`poison-${seed}`, 'POISON'),
    );
    await Promise.all([
      paceCalls((index) => callers.sendPrompt(`prompt-${index}`), {
        callsPerSecond: PROMPTS_PER_SECOND,
        durationMs,
      }),
      paceCalls((index) => callers.sendPayout(`payout-${index}`), {
        callsPerSecond: PAYOUTS_PER_SECOND,
        durationMs,
      }),
      poison,
      faults,
    ]);
    await sampleMemory(system, recorder);
    const history = recorder.events();
    const violations = checkHistory(history);
    return { seed, faults: await faults, history, violations };
  } finally {
    await system.stop();
    await dispatcher.destroy();
  }
}

function formatRun({ seed, faults, history, violations }: FaultRun): string {
  const sent = history.filter(({ type }) => type === 'caller.sent').length;
  const lost = history.filter(({ type }) => type === 'caller.lost').length;
  const ends = history.filter((event) => event.type === 'caller.ended');
  const answered = ends.filter(({ outcome }) => outcome === 'answered').length;
  const byOutcome = countBy(
    ends.map(({ outcome, ran }) => `${outcome}/${ran}`),
  );
  const byRule = countBy(violations.map(({ rule }) => rule));
  const rules = HISTORY_RULES.map((rule) => `${rule} ${byRule[rule] ?? 0}`);
  const share = ((100 * answered) / Math.max(1, sent)).toFixed(1);
  return [
    `seed ${seed}: ${sent} requests, ${answered} answered (${share}%), ${lost} lost with a disturbed entry`,
    `  outcomes   ${formatCounts(byOutcome)}`,
    `  faults     ${formatCounts(faults)}`,
    `  violations ${rules.join(', ')}`,
    ...violations
      .slice(0, 8)
      .map(({ rule, subject, detail }) => `    ${rule} ${subject}: ${detail}`),
  ].join('\n');
}

function countBy(names: readonly string[]): Readonly<Record<string, number>> {
  return names.reduce<Record<string, number>>(
    (counts, name) => ({ ...counts, [name]: (counts[name] ?? 0) + 1 }),
    {},
  );
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      runs: { type: 'string', default: '3' },
      seed: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '20' },
      faults: { type: 'string', default: FAULT_KINDS.join(',') },
      'first-port': { type: 'string', default: '8401' },
      out: { type: 'string', default: 'bench/out/faults' },
      help: { type: 'boolean', default: false },
    },
  });
  if (values.help) {
    process.stdout.write(HELP);
    return;
  }
  const wanted = values.faults.split(',');
  const kinds = FAULT_KINDS.filter((kind) => wanted.includes(kind));
  await mkdir(values.out, { recursive: true });
  for (let index = 0; index < Number(values.runs); index += 1) {
    const result = await run({
      seed: Number(values.seed) + index,
      kinds,
      durationMs: Number(values.seconds) * MS_PER_SECOND,
      outDir: values.out,
      firstPort: Number(values['first-port']),
    });
    const file = join(values.out, `history-${result.seed}.json`);
    await writeFile(file, JSON.stringify(result, null, 1));
    process.stdout.write(`${formatRun(result)}\n`);
    if (result.violations.length > 0) process.exitCode = 1;
  }
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
