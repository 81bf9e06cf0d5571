import {
  type Settings,
  settingsSchema,
  type TableDocument,
} from '@endivegate/contracts';
import {
  type EngineStandIn,
  type PlatformStandIn,
  type ServiceStandIn,
  startEngineStandIn,
  type StartEngineStandInOptions,
  startPlatformStandIn,
  type StartPlatformStandInOptions,
  startServiceStandIn,
  type StartServiceStandInOptions,
} from '@endivegate/stand-ins';
import { createPlatformHttpPort } from '../adapters/index.ts';
import type { Entry } from '../createEntry/index.ts';
import { createLogger, type Logger } from '../createLogger/index.ts';
import { startHttpEntry } from '../runServe/index.ts';
import { hashToken, seedTable } from '../seedTable/index.ts';

/** Bearer token of the workspace `demo` of a local fleet. */
export const LOCAL_WORKSPACE_TOKEN = 'demo-token';

/** Bearer token for the operators' API of a local fleet. */
export const LOCAL_OPERATOR_TOKEN = 'operator-token';

/** Model that the engines of a local fleet serve. */
export const LOCAL_MODEL = 'demo-model';

const LOCAL_HOST = '127.0.0.1';
const READY_POLL_MS = 20;

/** Table of a local fleet. */
export const localTable: TableDocument = {
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
    { workspace: 'demo', tokenSha256: [hashToken(LOCAL_WORKSPACE_TOKEN)] },
  ],
  models: [],
};

/** Options of {@link startLocalFleet}. */
export interface StartLocalFleetOptions {
  /** Number of entries, spread over three data centres. */
  readonly entryCount?: number;
  readonly engineCount?: number;
  /** Port for callers of the first entry; 0 for any free port. */
  readonly port?: number;
  /** Port for operators of the first entry; 0 for any free port. */
  readonly operatorsPort?: number;
  readonly engine?: StartEngineStandInOptions;
  readonly service?: StartServiceStandInOptions;
  readonly platform?: StartPlatformStandInOptions;
  /** Overrides of every entry's settings, applied before validation. */
  readonly settings?: object;
  readonly logger?: (entryId: string) => Logger;
  readonly onExit?: (exitCode: number, entryId: string) => void;
}

/** Entries and stand-ins for all systems that they use, in one process. */
export interface LocalFleet {
  readonly entries: readonly Entry[];
  readonly engines: readonly EngineStandIn[];
  readonly ledger: ServiceStandIn;
  readonly platform: PlatformStandIn;
  readonly stop: () => Promise<void>;
}

const DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3'] as const;

/**
 * Starts entries with in-process stand-ins: a platform, engines and a ledger
 * service.
 *
 * @param options - Counts and overrides of the defaults.
 * @returns The running fleet, in which every entry is ready and knows the others.
 */
export async function startLocalFleet(
  options: StartLocalFleetOptions = {},
): Promise<LocalFleet> {
  const { entryCount = 1, engineCount = 2 } = options;
  const engines = await Promise.all(
    Array.from({ length: engineCount }, (_, index) =>
      startEngineStandIn({
        engineId: `engine-${index + 1}`,
        models: [LOCAL_MODEL],
        ...options.engine,
      }),
    ),
  );
  const ledger = await startServiceStandIn({
    service: 'ledger',
    ...options.service,
  });
  const targets = [...engines, ledger].map(({ target }) => target);
  const platform = await startPlatformStandIn({
    instances: { entries: [], targets },
    ...options.platform,
  });
  const port = createPlatformHttpPort({ url: platform.url });
  await seedTable(port, localTable)();
  const entries = await Promise.all(
    Array.from({ length: entryCount }, (_, index) =>
      startEntry(index, platform.url, options),
    ),
  );
  const listed = entries.map(({ self }) => ({ ...self, leaving: false }));
  platform.setInstances({ entries: listed, targets });
  await Promise.all(entries.map((entry) => waitUntilReady(entry, entryCount)));
  return {
    entries,
    engines,
    ledger,
    platform,
    stop: async () => {
      await Promise.all(entries.map((entry) => entry.stop()));
      await Promise.all(
        [...engines, ledger, platform].map((standIn) => standIn.close()),
      );
    },
  };
}

function startEntry(
  index: number,
  platformUrl: string,
  options: StartLocalFleetOptions,
): Promise<Entry> {
  const entryId = `entry-${index + 1}`;
  const logger = options.logger ?? createQuietLogger;
  return startHttpEntry(
    {
      settings: createLocalSettings(index, platformUrl, options),
      operatorToken: LOCAL_OPERATOR_TOKEN,
      peerKey: undefined,
    },
    {
      logger: logger(entryId),
      onExit: (exitCode) => options.onExit?.(exitCode, entryId),
    },
  );
}

function createQuietLogger(entryId: string): Logger {
  return createLogger({ entryId, write: () => undefined });
}

function createLocalSettings(
  index: number,
  platformUrl: string,
  options: StartLocalFleetOptions,
): Settings {
  const isFirst = index === 0;
  return settingsSchema.parse({
    entryId: `entry-${index + 1}`,
    region: 'region-1',
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
    host: LOCAL_HOST,
    callers: { port: isFirst ? (options.port ?? 0) : 0 },
    operators: {
      port: isFirst ? (options.operatorsPort ?? 0) : 0,
      token: { env: 'ENDIVEGATE_OPERATOR_TOKEN' },
    },
    peers: { port: 0 },
    platform: { url: platformUrl },
    ...options.settings,
  });
}

async function waitUntilReady(entry: Entry, entryCount: number): Promise<void> {
  const isReady = () =>
    entry.unreadyReasons().length === 0 &&
    entry.runtime.state().membership.members.size >= entryCount - 1;
  while (!isReady()) {
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}
