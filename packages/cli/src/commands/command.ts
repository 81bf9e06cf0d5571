import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type { ParseArgsConfig } from 'node:util';
import type { CliError } from '../cliError.ts';
import type { AdminClient } from '../createAdminClient/index.ts';
import type { ExitCode } from '../exitCodes.ts';

/** Dependencies of commands on the process that runs them. */
export interface CommandContext {
  readonly call: AdminClient;
  /** Reads a file, or standard input for `-`. */
  readonly readText: (file: string) => Promise<string>;
  readonly sleep: (delayMs: number) => Promise<void>;
  readonly nowMs: () => number;
  readonly newEditToken: () => string;
  /** Default author of edits. */
  readonly author: string;
}

/** Arguments of a command, as returned by `util.parseArgs`. */
export interface CommandArgs {
  readonly values: Readonly<Record<string, string | boolean | undefined>>;
  readonly positionals: readonly string[];
}

/** Result of a command: the same content as text and as JSON. */
export interface CommandResult {
  readonly text: string;
  readonly json: unknown;
  readonly exitCode?: ExitCode;
  /** Message for standard error. */
  readonly notice?: string;
}

/** A subcommand. */
export interface Command {
  /** Name of the subcommand, one or more words. */
  readonly name: string;
  /** Arguments and options, as shown by `--help`. */
  readonly usage: string;
  readonly summary: string;
  readonly options: NonNullable<ParseArgsConfig['options']>;
  /** Names of the positional arguments; a last one ending in `...` allows any number. */
  readonly positionals: readonly string[];
  readonly run: (
    context: CommandContext,
    args: CommandArgs,
  ) => TaskEither<CliError, CommandResult>;
}
