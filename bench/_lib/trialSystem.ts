import { readFile } from 'node:fs/promises';
import {
  formatFindings,
  parseJsonc,
  tableDocumentSchema,
} from '@endivegate/contracts';
import { createPlatformHttpPort, seedTable } from '@endivegate/daemon';
import * as E from 'fp-ts/lib/Either.js';
import { startProcess, type TrialProcess } from './startProcess.ts';
import { untilOk } from './untilOk.ts';

/** Token of the operators' API in a trial. */
export const OPERATOR_TOKEN = 'operator-token';

/** Bearer token of the workspace `demo` in a trial. */
export const WORKSPACE_TOKEN = 'demo-token';

/** Model that the engines of a trial serve. */
export const TRIAL_MODEL = 'demo-model';

const STAND_IN = 'packages/stand-ins/dist/main.js';
const DAEMON = 'packages/daemon/dist/main.js';

/** Where the processes' output goes. */
export interface TrialOptions {
  readonly outDir: string;
}

/**
 * Starts a stand-in as a process.
 *
 * @param name - Name of its output file.
 * @param args - Its command line.
 * @param options - Where its output goes.
 * @returns The process.
 */
export function startStandIn(
  name: string,
  args: readonly string[],
  options: TrialOptions,
): TrialProcess {
  return startProcess({ ...options, name, args: [STAND_IN, ...args] });
}

/**
 * Starts an entry as a process.
 *
 * @param name - Name of its output file.
 * @param settingsFile - Its settings.
 * @param options - Where its output goes.
 * @returns The process.
 */
export function startEntry(
  name: string,
  settingsFile: string,
  options: TrialOptions,
): TrialProcess {
  return startProcess({
    ...options,
    name,
    args: [DAEMON, 'serve', '--settings', settingsFile],
    environment: { ENDIVEGATE_OPERATOR_TOKEN: OPERATOR_TOKEN },
  });
}

/**
 * Waits for the platform and writes the first table into it.
 *
 * @param platformUrl - The platform.
 * @param tableFile - The table, JSON with comments.
 * @throws Error for a table with findings, or a store that fails.
 */
export async function loadTable(
  platformUrl: string,
  tableFile: string,
): Promise<void> {
  await untilOk(`${platformUrl}/counts`);
  const text = await readFile(tableFile, 'utf8');
  const table = parseJsonc(text, tableDocumentSchema, { file: tableFile });
  if (E.isLeft(table)) throw new Error(formatFindings(table.left));
  const platform = createPlatformHttpPort({ url: platformUrl });
  const seeded = await seedTable(platform, table.right)();
  await platform.close();
  if (E.isLeft(seeded)) throw new Error(`store: ${seeded.left.type}`);
}

/**
 * Stops processes, the last started first.
 *
 * @param processes - In order of their start.
 */
export async function stopAll(
  processes: readonly TrialProcess[],
): Promise<void> {
  for (const one of processes.toReversed()) await one.stop();
}
