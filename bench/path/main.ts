import { mkdir, writeFile } from 'node:fs/promises';
import { cpus } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { Agent } from 'undici';
import {
  callEngine,
  callEntry,
  type StreamedAnswer,
} from '../_lib/callPrompt.ts';
import { paceCalls } from '../_lib/paceCalls.ts';
import { percentile } from '../_lib/percentile.ts';
import { cpuTimeMs, residentMb } from '../_lib/processUsage.ts';
import {
  loadTable,
  startEntry,
  startStandIn,
  stopAll,
  TRIAL_MODEL,
  WORKSPACE_TOKEN,
} from '../_lib/trialSystem.ts';
import type { TrialProcess } from '../_lib/startProcess.ts';
import { waitUntilOk } from '../_lib/waitUntilOk.ts';
import { entrySettings, FIRST_ENGINE_PORT, instanceListOf } from './config.ts';

const HELP = `Usage: npm run bench:path -- [options]

Compares streamed answers through one entry with the same engine called directly.

  --seconds N     Duration of each step (10)
  --rates LIST    Rates to try when searching for the highest one (200,400,800,1200)
  --streams N     Open streams during the memory measurement (1000)
  --out DIR       Directory of results (bench/out/path)
  --help          This text
`;

const ENTRY_URL = 'http://127.0.0.1:8301';
const ENGINE_URL = 'http://127.0.0.1:4301';
const PLATFORM_URL = 'http://127.0.0.1:4300';
const COMPARED_RATE = 100;
const MAX_TOKENS = 16;
const WARM_UP_MS = 8_000;

/** Time over which the memory measurement opens its streams. */
const STREAM_OPENING_MS = 5_000;
const SETTLING_MS = 2_000;

/**
 * Output length of a slow stream; at 200 ms per token, all streams are open at
 * the same time.
 */
const OPEN_STREAM_TOKENS = 96;
const MS_PER_SECOND = 1_000;

/**
 * A rate counts as sustained when this percentage of answers is complete and in
 * time.
 */
const SUSTAINED_PERCENT = 99;
const SUSTAINED_FIRST_TOKEN_MS = 100;

const dispatcher = new Agent({ connections: null, pipelining: 1 });
let calls = 0;

function nextPrompt(): string {
  calls += 1;
  return `Question ${calls}: ${'who is next in the rota? '.repeat(8)}`;
}

function callViaEntry(maxTokens = MAX_TOKENS): Promise<StreamedAnswer> {
  return callEntry({
    entryUrl: ENTRY_URL,
    token: WORKSPACE_TOKEN,
    model: TRIAL_MODEL,
    prompt: nextPrompt(),
    maxTokens,
    dispatcher,
  });
}

function callDirectly(): Promise<StreamedAnswer> {
  return callEngine({
    engineUrl: ENGINE_URL,
    attemptId: `direct-${calls}`,
    model: TRIAL_MODEL,
    prompt: nextPrompt(),
    maxTokens: MAX_TOKENS,
    dispatcher,
  });
}

/** Latency summary of direct calls or of calls through the entry. */
interface Times {
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  readonly totalP50Ms: number;
  readonly totalP99Ms: number;
  readonly wholePercent: number;
}

function summarizeTimes(answers: readonly StreamedAnswer[]): Times {
  const first = answers.map((answer) => answer.firstTokenMs ?? Infinity);
  const total = answers.map((answer) => answer.totalMs);
  const completeCount = answers.filter((answer) => answer.isComplete).length;
  return {
    firstTokenP50Ms: round(percentile(first, 50)),
    firstTokenP99Ms: round(percentile(first, 99)),
    totalP50Ms: round(percentile(total, 50)),
    totalP99Ms: round(percentile(total, 99)),
    wholePercent: round((100 * completeCount) / answers.length),
  };
}

/**
 * Alternates direct calls and calls through the entry, each at {@link
 * COMPARED_RATE}.
 */
async function compare(entry: TrialProcess, durationMs: number) {
  const usedBeforeMs = await cpuTimeMs(entry.pid);
  const answers = await paceCalls(
    (index) => (index % 2 === 0 ? callDirectly() : callViaEntry()),
    { callsPerSecond: 2 * COMPARED_RATE, durationMs },
  );
  const usedMs = (await cpuTimeMs(entry.pid)) - usedBeforeMs;
  const directTimes = summarizeTimes(
    answers.filter((_, index) => index % 2 === 0),
  );
  const entryTimes = summarizeTimes(
    answers.filter((_, index) => index % 2 === 1),
  );
  return {
    callsPerSecond: COMPARED_RATE,
    direct: directTimes,
    entry: entryTimes,
    added: {
      firstTokenP50Ms: round(
        entryTimes.firstTokenP50Ms - directTimes.firstTokenP50Ms,
      ),
      firstTokenP99Ms: round(
        entryTimes.firstTokenP99Ms - directTimes.firstTokenP99Ms,
      ),
      totalP50Ms: round(entryTimes.totalP50Ms - directTimes.totalP50Ms),
      totalP99Ms: round(entryTimes.totalP99Ms - directTimes.totalP99Ms),
    },
    processorMsPerCall: round(usedMs / (answers.length / 2)),
  };
}

/** Raises the rate until the entry no longer sustains it. */
async function findHighestRate(
  entry: TrialProcess,
  rates: readonly number[],
  durationMs: number,
) {
  const steps = [];
  for (const callsPerSecond of rates) {
    const engineOnly = summarizeTimes(
      await paceCalls(callDirectly, { callsPerSecond, durationMs }),
    );
    const usedBeforeMs = await cpuTimeMs(entry.pid);
    const answers = await paceCalls(() => callViaEntry(), {
      callsPerSecond,
      durationMs,
    });
    const usedMs = (await cpuTimeMs(entry.pid)) - usedBeforeMs;
    const answeredInTime = answers.filter(
      (answer) =>
        answer.isComplete &&
        (answer.firstTokenMs ?? Infinity) <= SUSTAINED_FIRST_TOKEN_MS,
    ).length;
    const heldPercent = round((100 * answeredInTime) / answers.length);
    steps.push({
      callsPerSecond,
      direct: engineOnly,
      entry: summarizeTimes(answers),
      ends: countEnds(answers),
      heldPercent,
      processorMsPerCall: round(usedMs / answers.length),
    });
    if (heldPercent < SUSTAINED_PERCENT) break;
  }
  return steps;
}

/** Opens slow streams and measures the entry's resident memory. */
async function measureMemory(entry: TrialProcess, streams: number) {
  const idleMb = await residentMb(entry.pid);
  const opening = paceCalls(() => callViaEntry(OPEN_STREAM_TOKENS), {
    callsPerSecond: (streams * MS_PER_SECOND) / STREAM_OPENING_MS,
    durationMs: STREAM_OPENING_MS,
  });
  await sleep(STREAM_OPENING_MS + SETTLING_MS);
  const openMb = await residentMb(entry.pid);
  const answers = await opening;
  return {
    streams,
    stillOpen: answers.filter(
      (one) => one.totalMs > SETTLING_MS + STREAM_OPENING_MS,
    ).length,
    idleMb: round(idleMb),
    openMb: round(openMb),
    kbPerStream: round(((openMb - idleMb) * 1_024) / streams),
    ends: countEnds(answers),
  };
}

/** Starts a new system, runs one measurement on it and stops it. */
async function withSystem<Result>(
  outDir: string,
  engines: { readonly count: number; readonly args: readonly string[] },
  measure: (entry: TrialProcess) => Promise<Result>,
): Promise<Result> {
  const settingsFile = join(outDir, 'entry-1.json');
  const instancesFile = join(outDir, 'instances.json');
  await mkdir(outDir, { recursive: true });
  await writeFile(settingsFile, JSON.stringify(entrySettings));
  await writeFile(instancesFile, JSON.stringify(instanceListOf(engines.count)));
  const started: TrialProcess[] = [];
  const standIn = (name: string, args: readonly string[]): void => {
    started.push(startStandIn(name, args, { outDir }));
  };
  try {
    standIn('platform', [
      ...['platform', '--port', '4300', '--instances', instancesFile],
    ]);
    Array.from({ length: engines.count }, (_, index) => {
      standIn(`engine-${index + 1}`, [
        ...['engine', '--port', String(FIRST_ENGINE_PORT + index)],
        ...['--model', TRIAL_MODEL, ...engines.args],
      ]);
    });
    await loadTable(PLATFORM_URL, 'examples/trial/table.jsonc');
    const entry = startEntry('entry-1', settingsFile, { outDir });
    started.push(entry);
    await waitUntilOk(`${ENTRY_URL}/readyz`);
    return await measure(entry);
  } finally {
    await stopAll(started);
  }
}

/** Counts answers by how they ended: complete, with an error code, or cut. */
function countEnds(answers: readonly StreamedAnswer[]): Record<string, number> {
  return answers.reduce<Record<string, number>>((counts, answer) => {
    const end = answer.isComplete ? 'whole' : (answer.errorCode ?? 'cut');
    return { ...counts, [end]: (counts[end] ?? 0) + 1 };
  }, {});
}

const FAST_ENGINE_ARGS = [
  ...['--decode-step-ms', '2', '--decode-step-per-sequence-ms', '0'],
  ...['--max-batch', '4000'],
  ...['--prefill-tokens-per-second', '10000000'],
];
const SLOW_ENGINE_ARGS = [
  ...['--decode-step-ms', '200', '--decode-step-per-sequence-ms', '0'],
  ...['--max-batch', '4000'],
  ...['--prefill-tokens-per-second', '10000000'],
];

/**
 * Latency is measured with one engine; memory with several, so that none refuses
 * a stream.
 */
const FAST_ENGINE = { count: 1, args: FAST_ENGINE_ARGS };
const SLOW_ENGINES = { count: 8, args: SLOW_ENGINE_ARGS };

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seconds: { type: 'string', default: '10' },
      rates: { type: 'string', default: '200,400,800,1200' },
      streams: { type: 'string', default: '1000' },
      out: { type: 'string', default: 'bench/out/path' },
      help: { type: 'boolean', default: false },
    },
  });
  if (values.help) {
    process.stdout.write(HELP);
    return;
  }
  const durationMs = Number(values.seconds) * MS_PER_SECOND;
  const rates = values.rates.split(',').map(Number);
  const timed = await withSystem(values.out, FAST_ENGINE, async (entry) => {
    await compare(entry, WARM_UP_MS);
    return {
      compared: await compare(entry, durationMs),
      steps: await findHighestRate(entry, rates, durationMs),
    };
  });
  const memory = await withSystem(values.out, SLOW_ENGINES, (entry) =>
    measureMemory(entry, Number(values.streams)),
  );
  const results = { cores: cpus().length, ...timed, memory };
  const file = join(values.out, 'results.json');
  await writeFile(file, JSON.stringify(results, null, 2));
  process.stdout.write(`${JSON.stringify(results, null, 2)}\n${file}\n`);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

main()
  .catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = 1;
  })
  .finally(() => void dispatcher.destroy());
