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
import { isOk, waitUntilOk } from '../_lib/waitUntilOk.ts';
import type { Recorder } from './createRecorder.ts';

/** An entry process that can be killed and restarted. */
export interface EntryProcess {
  readonly name: string;
  readonly url: string;
  process: TrialProcess;
  /** Times at which it was killed, paused or resumed. */
  readonly disturbedAtMs: number[];
  readonly restart: () => Promise<void>;
}

/**
 * Entries in processes of their own, with stand-ins that run in this process.
 */
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
  /** First of the ports that the entries listen on. */
  readonly firstPort: number;
}

/** Deadline of prompts in the operators' table. */
export const PROMPT_DEADLINE_MS = 8_000;

/** Deadline of ledger calls in the operators' table. */
export const CALL_DEADLINE_MS = 6_000;

const HOST = '127.0.0.1';
/** Offsets of an entry's ports from the first port of the run. */
const PORT_OFFSET = { callers: 0, operators: 10, peers: 20 } as const;

const ENTRY_INDEXES = [0, 1, 2];
const ENTRY_LOCATION = { region: 'region-1', host: HOST } as const;

/** SHA-256 of `WORKSPACE_TOKEN`. */
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
 * Starts three entries as child processes, and stand-ins in this process.
 *
 * @param options - Seed, recorder, first port and output folder.
 * @returns The system, once all entries are ready.
 */
export async function startSystem(
  options: StartSystemOptions,
): Promise<FaultSystem> {
  const { firstPort, outDir, recorder, seed } = options;
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
    instances: {
      entries: ENTRY_INDEXES.map((number) => entryAddress(number, firstPort)),
      targets,
    },
  });
  await mkdir(outDir, { recursive: true });
  const tableFile = join(outDir, 'table.json');
  await writeFile(tableFile, JSON.stringify(table));
  await loadTable(platform.url, tableFile);
  const entries = await Promise.all(
    ENTRY_INDEXES.map((number) =>
      startEntryProcess(number, {
        platformUrl: platform.url,
        outDir,
        firstPort,
      }),
    ),
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

async function startEntryProcess(
  number: number,
  options: {
    readonly platformUrl: string;
    readonly outDir: string;
    readonly firstPort: number;
  },
): Promise<EntryProcess> {
  const { firstPort, outDir } = options;
  const name = `entry-${number + 1}`;
  const settingsFile = join(outDir, `${name}.json`);
  const settings = settingsOf(number, options);
  await writeFile(settingsFile, JSON.stringify(settings));
  const url = `http://${HOST}:${firstPort + PORT_OFFSET.callers + number}`;
  if (await isOk(`${url}/healthz`)) {
    throw new Error(`${url} is taken by another process; see --first-port`);
  }
  const start = (): TrialProcess => startEntry(name, settingsFile, { outDir });
  const entry: EntryProcess = {
    name,
    url,
    process: start(),
    disturbedAtMs: [],
    restart: async () => {
      entry.process = start();
      await waitUntilOk(`${url}/readyz`);
    },
  };
  await waitUntilOk(`${url}/readyz`);
  return entry;
}

function settingsOf(
  number: number,
  options: { readonly platformUrl: string; readonly firstPort: number },
): object {
  const { firstPort, platformUrl } = options;
  return {
    entryId: `entry-${number + 1}`,
    ...ENTRY_LOCATION,
    dataCentre: `dc-${number + 1}`,
    callers: { port: firstPort + PORT_OFFSET.callers + number },
    operators: {
      port: firstPort + PORT_OFFSET.operators + number,
      token: { env: 'ENDIVEGATE_OPERATOR_TOKEN' },
    },
    peers: { port: firstPort + PORT_OFFSET.peers + number },
    platform: { url: platformUrl },
    log: { level: 'info' },
  };
}

function entryAddress(
  number: number,
  firstPort: number,
): InstanceList['entries'][number] {
  return {
    entryId: `entry-${number + 1}`,
    incarnation: 0,
    ...ENTRY_LOCATION,
    dataCentre: `dc-${number + 1}`,
    httpPort: firstPort + PORT_OFFSET.callers + number,
    peerPort: firstPort + PORT_OFFSET.peers + number,
    leaving: false,
  };
}
