import * as E from 'fp-ts/lib/Either.js';
import { parseArgs } from 'node:util';
import type { CliError } from '../cliError.ts';
import { usageError } from '../commands/args.ts';
import type {
  Command,
  CommandArgs,
  CommandContext,
} from '../commands/command.ts';
import { fleetCommands } from '../commands/fleetCommands.ts';
import { tableCommands } from '../commands/tableCommands.ts';
import { EXIT_CODE_HELP, EXIT_CODES, type ExitCode } from '../exitCodes.ts';
import { formatConflicts } from '../formatChanges/index.ts';

/** Version of `endivegatectl`. */
export const VERSION = '0.1.0';

/** Default address of the operators' API. */
export const DEFAULT_URL = 'http://127.0.0.1:8081';

/** Dependencies of the command line on the process that runs it. */
export interface CommandLineHost {
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
  /** Creates the context of commands for an address and a token file. */
  readonly createContext: (connection: {
    readonly url: string | undefined;
    readonly tokenFile: string | undefined;
  }) => Promise<E.Either<CliError, CommandContext>>;
}

const COMMANDS: readonly Command[] = [...tableCommands, ...fleetCommands];

const COMMON_OPTIONS = {
  help: { type: 'boolean', short: 'h' },
  json: { type: 'boolean' },
  url: { type: 'string' },
  'token-file': { type: 'string' },
  author: { type: 'string' },
} as const;

/**
 * Runs one command line.
 *
 * @param argv - Arguments after the program's name.
 * @param host - Output, and the context for commands.
 * @returns The exit code.
 *
 * @example
 * process.exitCode = await runCommandLine(process.argv.slice(2), host);
 */
export async function runCommandLine(
  argv: readonly string[],
  host: CommandLineHost,
): Promise<ExitCode> {
  if (argv[0] === '--version') return print(host, `endivegatectl ${VERSION}\n`);
  if (argv.length === 0 || argv[0] === '--help' || argv[0] === '-h') {
    return print(host, helpText());
  }
  const command = findCommand(argv);
  if (command === undefined) {
    return fail(
      host,
      usageError(`unknown command "${argv.slice(0, 2).join(' ')}"`),
    );
  }
  const args = parseCommandArgs(command, argv);
  if (E.isLeft(args)) return fail(host, args.left);
  if (args.right.values.help === true) {
    return print(host, `${usageLine(command)}\n\n${command.summary}\n`);
  }
  return runCommand(command, args.right, host);
}

async function runCommand(
  command: Command,
  args: CommandArgs,
  host: CommandLineHost,
): Promise<ExitCode> {
  const context = await host.createContext({
    url: args.values.url as string | undefined,
    tokenFile: args.values['token-file'] as string | undefined,
  });
  if (E.isLeft(context)) return fail(host, context.left);
  const result = await command.run(context.right, args)();
  const isJson = args.values.json === true;
  if (E.isLeft(result)) return fail(host, result.left, isJson);
  const { text, json, notice, exitCode } = result.right;
  if (notice !== undefined && !isJson) host.writeError(`${notice}\n`);
  host.writeOut(isJson ? `${JSON.stringify(json)}\n` : text);
  return exitCode ?? EXIT_CODES.ok;
}

function findCommand(argv: readonly string[]): Command | undefined {
  return COMMANDS.find(({ name }) =>
    name.split(' ').every((word, index) => argv[index] === word),
  );
}

function parseCommandArgs(
  command: Command,
  argv: readonly string[],
): E.Either<CliError, CommandArgs> {
  const parsed = E.tryCatch(
    () =>
      parseArgs({
        args: argv.slice(command.name.split(' ').length),
        options: { ...COMMON_OPTIONS, ...command.options },
        allowPositionals: true,
      }),
    (error) =>
      usageError(error instanceof Error ? error.message : String(error)),
  );
  return E.filterOrElse(
    ({ values, positionals }: CommandArgs) =>
      values.help === true ||
      acceptsPositionalCount(command, positionals.length),
    () => usageError(`expected: ${usageLine(command)}`),
  )(parsed as E.Either<CliError, CommandArgs>);
}

function acceptsPositionalCount(command: Command, count: number): boolean {
  const isVariadic = command.positionals.at(-1)?.endsWith('...') ?? false;
  return isVariadic || count === command.positionals.length;
}

function usageLine(command: Command): string {
  return `endivegatectl ${command.name} ${command.usage}`.trimEnd();
}

function helpText(): string {
  const lines = COMMANDS.map(
    ({ name, usage, summary }) =>
      `  ${`${name} ${usage}`.trimEnd()}\n      ${summary}\n`,
  );
  return `Usage: endivegatectl COMMAND [OPTIONS]

Commands:
${lines.join('')}
Options of every command:
  --url URL            operators' API of any entry (ENDIVEGATE_URL, ${DEFAULT_URL})
  --token-file FILE    file with the operators' token (or ENDIVEGATE_TOKEN)
  --author NAME        author of changes (USER)
  --json               print the result as JSON
  -h, --help           print this help, or the help of a command
  --version            print the version

${EXIT_CODE_HELP}`;
}

function print(host: CommandLineHost, text: string): ExitCode {
  host.writeOut(text);
  return EXIT_CODES.ok;
}

function fail(
  host: CommandLineHost,
  error: CliError,
  isJson = false,
): ExitCode {
  if (isJson) host.writeOut(`${JSON.stringify({ error })}\n`);
  host.writeError(
    [
      `endivegatectl: ${error.message}\n`,
      ...(error.findings ?? []).map(
        ({ place, message }) => `  ${place}: ${message}\n`,
      ),
      formatConflicts(error.conflicts ?? []),
    ].join(''),
  );
  return error.exitCode;
}
