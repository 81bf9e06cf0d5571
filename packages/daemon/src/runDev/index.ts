import { type Settings, settingsSchema } from '@endivegate/contracts';
import type { TableDocument } from '@endivegate/contracts';
import {
  startEngineStandIn,
  startPlatformStandIn,
  startServiceStandIn,
} from '@endivegate/stand-ins';
import { createPlatformHttpPort } from '../adapters/index.ts';
import type { Entry } from '../createEntry/index.ts';
import {
  createExitSignal,
  leaveOnSignals,
  startHttpEntry,
} from '../runServe/index.ts';
import { hashToken, seedTable } from '../seedTable/index.ts';

/** Bearer token of the workspace `demo` in a trial. */
export const DEV_WORKSPACE_TOKEN = 'demo-token';

/** Token of the operators' API in a trial. */
export const DEV_OPERATOR_TOKEN = 'operator-token';

const DEV_MODEL = 'demo-model';
const DEV_HOST = '127.0.0.1';
const READY_POLL_MS = 20;

const devTable: TableDocument = {
  rows: [
    { workspace: '*', service: '*', kind: '*', weight: 1, deadlineMs: 120_000 },
    {
      workspace: '*',
      service: 'ledger',
      kind: '*',
      deadlineMs: 10_000,
      repeatable: false,
    },
  ],
  workspaces: [
    { workspace: 'demo', tokenSha256: [hashToken(DEV_WORKSPACE_TOKEN)] },
  ],
  models: [],
};

/** Options of {@link startDev}. */
export interface StartDevOptions {
  /** Port for callers; 0 for any. */
  readonly port: number;
  /** Port for operators; 0 for any. */
  readonly operatorsPort: number;
  readonly onExit?: (exitCode: number) => void;
}

/** One entry with in-process stand-ins. */
export interface Dev {
  readonly entry: Entry;
  readonly stop: () => Promise<void>;
}

/**
 * Starts one entry with in-process stand-ins: a platform, two engines and a
 * ledger service.
 *
 * @param options - Ports.
 * @returns The running entry, ready, and a function that stops all.
 */
export async function startDev(options: StartDevOptions): Promise<Dev> {
  const engines = await Promise.all(
    ['engine-1', 'engine-2'].map((engineId) =>
      startEngineStandIn({ engineId, models: [DEV_MODEL] }),
    ),
  );
  const ledger = await startServiceStandIn({ service: 'ledger' });
  const platform = await startPlatformStandIn({
    instances: {
      entries: [],
      targets: [...engines, ledger].map(({ target }) => target),
    },
  });
  const port = createPlatformHttpPort({ url: platform.url });
  await seedTable(port, devTable)();
  const entry = await startHttpEntry(
    {
      settings: devSettings(options, platform.url),
      operatorToken: DEV_OPERATOR_TOKEN,
      peerKey: undefined,
    },
    options,
  );
  await untilReady(entry);
  return {
    entry,
    stop: async () => {
      await entry.stop();
      await Promise.all(
        [...engines, ledger, platform].map((standIn) => standIn.close()),
      );
    },
  };
}

/**
 * Runs `endivegate dev` until it is told to stop.
 *
 * @param options - Ports.
 * @returns The exit code.
 */
export async function runDev(options: StartDevOptions): Promise<number> {
  const exit = createExitSignal();
  const dev = await startDev({ ...options, onExit: exit.resolve });
  leaveOnSignals(dev.entry);
  process.stdout.write(greeting(dev.entry));
  const exitCode = await exit.promise;
  await dev.stop();
  return exitCode;
}

function devSettings(options: StartDevOptions, platformUrl: string): Settings {
  return settingsSchema.parse({
    entryId: 'entry-1',
    region: 'region-1',
    dataCentre: 'dc-1',
    host: DEV_HOST,
    callers: { port: options.port },
    operators: {
      port: options.operatorsPort,
      token: { env: 'ENDIVEGATE_OPERATOR_TOKEN' },
    },
    peers: { port: 0 },
    platform: { url: platformUrl },
  });
}

async function untilReady(entry: Entry): Promise<void> {
  while (entry.unreadyReasons().length > 0) {
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}

function greeting(entry: Entry): string {
  return `endivegate is ready at ${entry.callersUrl}

Ask a question:

  curl -N ${entry.callersUrl}/v1/chat/completions \\
    -H 'authorization: Bearer ${DEV_WORKSPACE_TOKEN}' \\
    -H 'content-type: application/json' \\
    -d '{"model":"${DEV_MODEL}","stream":true,"max_tokens":16,
         "messages":[{"role":"user","content":"Who is next in the rota?"}]}'

Stop with Ctrl-C.
`;
}
