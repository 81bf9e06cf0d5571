import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { InstanceList } from '@endivegate/contracts';
import {
  type EngineStandIn,
  type PlatformStandIn,
  type ServiceStandIn,
  startEngineStandIn,
  startPlatformStandIn,
  startServiceStandIn,
} from '@endivegate/stand-ins';
import type { TrialProcess } from '../_lib/startProcess.ts';
import {
  loadTable,
  startEntry,
  stopAll,
  TRIAL_MODEL,
} from '../_lib/trialSystem.ts';
import { untilOk } from '../_lib/untilOk.ts';
import type { Recorder } from './createRecorder.ts';

/** One entry process, which may be killed and started again. */
export interface EntryProcess {
  readonly name: string;
  readonly url: string;
  process: TrialProcess;
  /** Times at which it was killed or paused. */
  readonly disturbedAtMs: number[];
  readonly restart: () => Promise<void>;
}

/** Entries as processes before stand-ins of this process. */
export interface FaultSystem {
  readonly entries: readonly EntryProcess[];
  readonly engines: readonly EngineStandIn[];
  readonly ledger: ServiceStandIn;
  readonly platform: PlatformStandIn;
  readonly stop: () => Promise<void>;
}

/** Options of {@link startSystem}. */
export interface StartSystemOptions {
  readonly seed: number;
  readonly outDir: string;
  readonly recorder: Recorder;
}

/** Time the table gives a prompt. */
export const PROMPT_DEADLINE_MS = 8_000;

/** Time the table gives a call of the ledger. */
export const CALL_DEADLINE_MS = 6_000;

const HOST = '127.0.0.1';
const FIRST_PORT = { callers: 8_401, operators: 8_411, peers: 8_421 } as const;
const NUMBERS = [0, 1, 2];
const PLACE = { region: 'region-1', host: HOST } as const;

/** SHA-256 of the trial's workspace token. */
const TOKEN_SHA256 =
  '7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c';

const table = {
  rows: [
    {
      workspace: '*',
      service: '*',
      kind: '*',
      deadlineMs: PROMPT_DEADLINE_MS,
    },
    {
      workspace: '*',
      service: 'ledger',
      kind: '*',
      deadlineMs: CALL_DEADLINE_MS,
      repeatable: false,
    },
  ],
  workspaces: [{ workspace: 'demo', tokenSha256: [TOKEN_SHA256] }],
};

/**
 * Starts three entries as processes, and stand-ins in this process.
 *
 * @param options - Seed, recorder and folder of output.
 * @returns The system, ready.
 */
export async function startSystem(
  options: StartSystemOptions,
): Promise<FaultSystem> {
  const { outDir, recorder, seed } = options;
  const engines = await Promise.all(
    [1, 2, 3, 4].map((number) =>
      startEngineStandIn({
        engineId: `engine-${number}`,
        dataCentre: `dc-${((number - 1) % 3) + 1}`,
        models: [TRIAL_MODEL],
        seed: seed * 10 + number,
        onRecord: recorder.onEngine,
        faults: { crashOnText: 'POISON', restartAfterMs: 1_500 },
      }),
    ),
  );
  const ledger = await startServiceStandIn({
    targetId: 'ledger-1',
    service: 'ledger',
    seed,
    onRecord: recorder.onService,
  });
  const targets = [...engines, ledger].map(({ target }) => target);
  const platform = await startPlatformStandIn({
    seed,
    instances: { entries: NUMBERS.map(entryAddress), targets },
  });
  await mkdir(outDir, { recursive: true });
  const tableFile = join(outDir, 'table.json');
  await writeFile(tableFile, JSON.stringify(table));
  await loadTable(platform.url, tableFile);
  const entries = await Promise.all(
    NUMBERS.map((number) => startOne(number, platform.url, outDir)),
  );
  return {
    entries,
    engines,
    ledger,
    platform,
    stop: async () => {
      await stopAll(entries.map(({ process }) => process));
      await Promise.all(
        [...engines, ledger, platform].map((standIn) => standIn.close()),
      );
    },
  };
}

async function startOne(
  number: number,
  platformUrl: string,
  outDir: string,
): Promise<EntryProcess> {
  const name = `entry-${number + 1}`;
  const settingsFile = join(outDir, `${name}.json`);
  const settings = settingsOf(number, platformUrl);
  await writeFile(settingsFile, JSON.stringify(settings));
  const url = `http://${HOST}:${FIRST_PORT.callers + number}`;
  const start = (): TrialProcess => startEntry(name, settingsFile, { outDir });
  const entry: EntryProcess = {
    name,
    url,
    process: start(),
    disturbedAtMs: [],
    restart: async () => {
      entry.process = start();
      await untilOk(`${url}/readyz`);
    },
  };
  await untilOk(`${url}/readyz`);
  return entry;
}

function settingsOf(number: number, platformUrl: string): object {
  return {
    entryId: `entry-${number + 1}`,
    ...PLACE,
    dataCentre: `dc-${number + 1}`,
    callers: { port: FIRST_PORT.callers + number },
    operators: {
      port: FIRST_PORT.operators + number,
      token: { env: 'ENDIVEGATE_OPERATOR_TOKEN' },
    },
    peers: { port: FIRST_PORT.peers + number },
    platform: { url: platformUrl },
    log: { level: 'info' },
  };
}

function entryAddress(number: number): InstanceList['entries'][number] {
  return {
    entryId: `entry-${number + 1}`,
    incarnation: 0,
    ...PLACE,
    dataCentre: `dc-${number + 1}`,
    httpPort: FIRST_PORT.callers + number,
    peerPort: FIRST_PORT.peers + number,
    leaving: false,
  };
}
