import { formatFindings } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import {
  createEngineHttpPort,
  createPlatformHttpPort,
  createServiceHttpPort,
} from '../adapters/index.ts';
import { createEntry, type Entry } from '../createEntry/index.ts';
import { createLogger, type Logger } from '../createLogger/index.ts';
import { type LoadedSettings, loadSettings } from '../loadSettings/index.ts';

/** Options of {@link startHttpEntry}. */
export interface StartHttpEntryOptions {
  /** JSON lines on standard error by default. */
  readonly logger?: Logger;
  readonly onExit?: (exitCode: number) => void;
}

/**
 * Starts an entry whose ports are HTTP adapters.
 *
 * @param loaded - Settings with their secrets.
 * @param options - Logger and exit callback.
 * @returns The running entry.
 */
export async function startHttpEntry(
  loaded: LoadedSettings,
  options: StartHttpEntryOptions = {},
): Promise<Entry> {
  const { entryId, log, platform } = loaded.settings;
  const logger = options.logger ?? createLogger({ entryId, level: log.level });
  const ports = {
    engines: createEngineHttpPort(),
    services: createServiceHttpPort(),
    platform: createPlatformHttpPort(platform),
  };
  const entry = await createEntry({ ...loaded, ...options, logger, ports });
  return {
    ...entry,
    stop: async () => {
      await entry.stop();
      // A pending watch on the store would keep the process alive.
      await Promise.all(Object.values(ports).map((port) => port.close()));
    },
  };
}

/**
 * Runs one entry until it has left.
 *
 * @param settingsFile - Path of the settings.
 * @returns The exit code.
 */
export async function runServe(settingsFile: string): Promise<number> {
  const loaded = await loadSettings(settingsFile);
  if (E.isLeft(loaded)) {
    process.stderr.write(`${formatFindings(loaded.left)}\n`);
    return 1;
  }
  const exit = createDeferredExitCode();
  const starting = startHttpEntry(loaded.right, { onExit: exit.resolve });
  leaveOnSignals(starting);
  const entry = await starting;
  const exitCode = await exit.promise;
  await entry.stop();
  return exitCode;
}

/** A promise of an exit code and the function that resolves it. */
export interface DeferredExitCode {
  readonly promise: Promise<number>;
  readonly resolve: (exitCode: number) => void;
}

/**
 * Creates a promise of an exit code that is resolved from outside.
 *
 * @returns The promise and the function that resolves it.
 */
export function createDeferredExitCode(): DeferredExitCode {
  let resolve: (exitCode: number) => void = () => undefined;
  const promise = new Promise<number>((resolvePromise) => {
    resolve = resolvePromise;
  });
  return { promise, resolve };
}

/**
 * Makes an entry leave on SIGTERM or SIGINT; a second signal exits immediately. An entry that
 * is told while it starts leaves once it has started, as it may have read requests.
 *
 * @param starting - Resolves when the entry has started.
 */
export function leaveOnSignals(starting: Promise<Pick<Entry, 'leave'>>): void {
  const leave = (): void => {
    starting.then(
      (entry) => {
        entry.leave();
      },
      () => undefined,
    );
  };
  ['SIGTERM', 'SIGINT'].forEach((signal) => {
    process.on(signal, leave);
  });
}
