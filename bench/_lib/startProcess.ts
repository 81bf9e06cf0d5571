import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdirSync } from 'node:fs';
import { join } from 'node:path';

/** A child process started by a benchmark or a trial. */
export interface TrialProcess {
  readonly name: string;
  readonly pid: number;
  readonly child: ChildProcess;
  /** Sends SIGTERM and waits until the process has exited. */
  readonly stop: () => Promise<void>;
}

/** Options of {@link startProcess}. */
export interface StartProcessOptions {
  readonly name: string;
  /** Script, relative to the working directory, and its arguments. */
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  /** Folder of the output files. */
  readonly outDir: string;
}

/**
 * Starts a Node.js process and writes its output to `<outDir>/<name>.log`.
 *
 * @param options - Script, arguments, environment and output folder.
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
