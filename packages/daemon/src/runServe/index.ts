import { formatFindings } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import {
  createEngineHttpPort,
  createPlatformHttpPort,
  createServiceHttpPort,
} from '../adapters/index.ts';
import { createEntry, type Entry } from '../createEntry/index.ts';
import { createLogger } from '../createLogger/index.ts';
import { type LoadedSettings, loadSettings } from '../loadSettings/index.ts';

/**
 * Starts an entry over the HTTP adapters of its ports.
 *
 * @param loaded - Settings with their secrets.
 * @returns The running entry.
 */
export function startHttpEntry(loaded: LoadedSettings): Promise<Entry> {
  const { settings } = loaded;
  const logger = createLogger({
    entryId: settings.entryId,
    level: settings.log.level,
  });
  return createEntry({
    ...loaded,
    logger,
    ports: {
      engines: createEngineHttpPort(),
      services: createServiceHttpPort(),
      platform: createPlatformHttpPort({ url: settings.platform.url }),
    },
  });
}

/**
 * Runs one entry until it is told to stop.
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
  const entry = await startHttpEntry(loaded.right);
  return waitForExit(entry);
}

/**
 * Waits until an entry was told to leave and has left.
 *
 * @param entry - The running entry.
 * @returns The exit code.
 */
export async function waitForExit(entry: Entry): Promise<number> {
  await new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  await entry.stop();
  return 0;
}
