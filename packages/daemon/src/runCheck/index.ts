import { formatFindings } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import { loadSettings } from '../loadSettings/index.ts';

/** Options of {@link runCheck}. */
export interface RunCheckOptions {
  readonly settingsFile: string;
  readonly isJson: boolean;
  /** Receives the output; standard output by default. */
  readonly write?: (text: string) => void;
}

/**
 * Checks a settings file and prints every finding.
 *
 * @param options - The file and the output format.
 * @returns The exit code: 0 without findings, otherwise 1.
 */
export async function runCheck(options: RunCheckOptions): Promise<number> {
  const write = options.write ?? writeToStandardOutput;
  const loaded = await loadSettings(options.settingsFile);
  const findings = E.isLeft(loaded) ? loaded.left : [];
  if (options.isJson) {
    write(`${JSON.stringify({ findings }, undefined, 2)}\n`);
  } else {
    const text =
      findings.length === 0 ? 'no findings' : formatFindings(findings);
    write(`${text}\n`);
  }
  return findings.length === 0 ? 0 : 1;
}

function writeToStandardOutput(text: string): void {
  process.stdout.write(text);
}
