import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdirSync } from 'node:fs';
import { join } from 'node:path';

/** A process of a trial. */
export interface TrialProcess {
  readonly name: string;
  readonly pid: number;
  readonly child: ChildProcess;
  /** Asks the process to stop and waits until it has. */
  readonly stop: () => Promise<void>;
}

/** Options of {@link startProcess}. */
export interface StartProcessOptions {
  readonly name: string;
  /** Script and arguments, relative to the workspace. */
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  /** Folder of the output files. */
  readonly outDir: string;
}

/**
 * Starts a Node process whose output goes to a file.
 *
 * @param options - What to start, and where its output goes.
 * @returns The process.
 */
export function startProcess(options: StartProcessOptions): TrialProcess {
  mkdirSync(options.outDir, { recursive: true });
  const log = createWriteStream(join(options.outDir, `${options.name}.log`));
  const child = spawn(process.execPath, [...options.args], {
    env: { ...process.env, ...options.environment },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  return {
    name: options.name,
    pid: child.pid ?? 0,
    child,
    stop: async () => {
      if (child.exitCode !== null || child.signalCode !== null) return;
      child.kill('SIGTERM');
      await once(child, 'exit');
    },
  };
}
