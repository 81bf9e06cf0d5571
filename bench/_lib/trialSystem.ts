import { readFile } from 'node:fs/promises';
import {
  formatFindings,
  parseJsonc,
  tableDocumentSchema,
} from '@endivegate/contracts';
import { createPlatformHttpPort, seedTable } from '@endivegate/daemon';
import * as E from 'fp-ts/lib/Either.js';
import { startProcess, type TrialProcess } from './startProcess.ts';
import { waitUntilOk } from './waitUntilOk.ts';

/** Token of the operators' API in a trial. */
export const OPERATOR_TOKEN = 'operator-token';

/** Bearer token of the workspace `demo` in a trial. */
export const WORKSPACE_TOKEN = 'demo-token';

/** Model that the engines of a trial serve. */
export const TRIAL_MODEL = 'demo-model';

const STAND_IN_SCRIPT = 'packages/stand-ins/dist/main.js';
const DAEMON_SCRIPT = 'packages/daemon/dist/main.js';

/** Options for starting a process of a trial. */
export interface TrialOptions {
  /** Folder of the log files. */
  readonly outDir: string;
}

/**
 * Starts a stand-in as a process.
 *
 * @param name - Name of the process and of its log file.
 * @param args - Command-line arguments.
 * @param options - Output folder.
 * @returns The process.
 */
export function startStandIn(
  name: string,
  args: readonly string[],
  options: TrialOptions,
): TrialProcess {
  return startProcess({ ...options, name, args: [STAND_IN_SCRIPT, ...args] });
}

/**
 * Starts an entry as a process.
 *
 * @param name - Name of the process and of its log file.
 * @param settingsFile - Path of its settings file.
 * @param options - Output folder.
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
    args: [DAEMON_SCRIPT, 'serve', '--settings', settingsFile],
    environment: { ENDIVEGATE_OPERATOR_TOKEN: OPERATOR_TOKEN },
  });
}

/**
 * Waits until the platform answers, then writes the initial operators' table.
 *
 * @param platformUrl - Base URL of the platform.
 * @param tableFile - File with the table, as JSON with comments.
 * @throws Error when the table is invalid or the store call fails.
 */
export async function loadTable(
  platformUrl: string,
  tableFile: string,
): Promise<void> {
  await waitUntilOk(`${platformUrl}/counts`);
  const text = await readFile(tableFile, 'utf8');
  const table = parseJsonc(text, tableDocumentSchema, { file: tableFile });
  if (E.isLeft(table)) throw new Error(formatFindings(table.left));
  const platform = createPlatformHttpPort({ url: platformUrl });
  const seeded = await seedTable(platform, table.right)();
  await platform.close();
  if (E.isLeft(seeded)) throw new Error(`store: ${seeded.left.type}`);
}

/**
 * Stops processes one after another, in reverse order of their start.
 *
 * @param processes - Processes in the order in which they were started.
 */
export async function stopAll(
  processes: readonly TrialProcess[],
): Promise<void> {
  for (const trialProcess of processes.toReversed()) await trialProcess.stop();
}
