import { parseArgs } from 'node:util';
import * as E from 'fp-ts/lib/Either.js';

/** A parsed command line. */
export type Command =
  | { readonly type: 'help' }
  | { readonly type: 'version' }
  | {
      readonly type: 'serve';
      readonly settingsFile: string;
    }
  | {
      readonly type: 'check';
      readonly settingsFile: string;
      readonly isJson: boolean;
    }
  | {
      readonly type: 'dev';
      readonly port: number;
      readonly operatorsPort: number;
    };

/** Default ports of `endivegate dev`. */
export const DEV_PORTS = { callers: 8_080, operators: 8_081 } as const;

/** Output of `endivegate --help`. */
export const HELP = `Usage: endivegate COMMAND [OPTIONS]

Commands:
  serve --settings FILE          run one entry
  check --settings FILE [--json] check a settings file and print every finding
  dev [--port N] [--operators-port N]
                                 run one entry with in-process stand-ins

Options:
  -h, --help                     print this text
  --version                      print the version

Exit codes:
  0  stopped as asked, or nothing found
  1  findings in a checked file, the entry could not start, or requests were
     still open when it had to exit
  2  wrong command line
`;

/**
 * Parses the command line of the daemon.
 *
 * @param args - Arguments after the program name.
 * @returns The command, or an error message about the arguments.
 *
 * @example
 * parseCommand(['serve', '--settings', 'entry.jsonc']);
 */
export function parseCommand(
  args: readonly string[],
): E.Either<string, Command> {
  const parsed = E.tryCatch(
    () => parseOptions(args),
    (error) => (error instanceof Error ? error.message : String(error)),
  );
  if (E.isLeft(parsed)) return parsed;
  const { values, positionals } = parsed.right;
  if (values.help) return E.right({ type: 'help' });
  if (values.version) return E.right({ type: 'version' });
  if (positionals.length !== 1)
    return E.left('exactly one command is required');
  switch (positionals[0]) {
    case 'serve':
      return requireSettings(values.settings, (settingsFile) => ({
        type: 'serve',
        settingsFile,
      }));
    case 'check':
      return requireSettings(values.settings, (settingsFile) => ({
        type: 'check',
        settingsFile,
        isJson: values.json,
      }));
    case 'dev':
      return parseDevCommand(values.port, values['operators-port']);
    default:
      return E.left(`unknown command "${positionals[0] ?? ''}"`);
  }
}

function parseOptions(args: readonly string[]) {
  return parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {
      help: { type: 'boolean', short: 'h', default: false },
      version: { type: 'boolean', default: false },
      json: { type: 'boolean', default: false },
      settings: { type: 'string' },
      port: { type: 'string', default: String(DEV_PORTS.callers) },
      'operators-port': {
        type: 'string',
        default: String(DEV_PORTS.operators),
      },
    },
  });
}

function requireSettings(
  file: string | undefined,
  build: (file: string) => Command,
): E.Either<string, Command> {
  return file === undefined
    ? E.left('--settings FILE is missing')
    : E.right(build(file));
}

function parseDevCommand(
  portText: string,
  operatorsPortText: string,
): E.Either<string, Command> {
  const port = Number(portText);
  const operatorsPort = Number(operatorsPortText);
  const isValid = [port, operatorsPort].every(
    (value) => Number.isInteger(value) && value >= 0 && value <= 65_535,
  );
  return isValid
    ? E.right({ type: 'dev', port, operatorsPort })
    : E.left('a port must be an integer from 0 to 65535');
}
