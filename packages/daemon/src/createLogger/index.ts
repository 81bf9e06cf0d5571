import log from 'loglevel';

/** Fields of a log line besides its level, event name and entry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Levels of a log line. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/** Writes one JSON object per line; `event` is the name of the event. */
export type Logger = Readonly<
  Record<LogLevel, (event: string, fields?: LogFields) => void>
>;

/** Options of {@link createLogger}. */
export interface CreateLoggerOptions {
  readonly entryId: string;
  /** Least severe level that is written; `info` by default. */
  readonly level?: LogLevel;
  /** Receives each line without a newline; standard error by default. */
  readonly write?: (line: string) => void;
  /** Wall clock, for the `time` field. */
  readonly now?: () => Date;
}

const LEVELS = ['trace', 'debug', 'info', 'warn', 'error'] as const;

/**
 * Creates a logger that writes JSON lines.
 *
 * @param options - Entry, level and output.
 * @returns The logger.
 *
 * @example
 * createLogger({ entryId: 'e1' }).info('entry.ready', { port: 8080 });
 */
export function createLogger(options: CreateLoggerOptions): Logger {
  const write = options.write ?? writeToStandardError;
  const now = options.now ?? (() => new Date());
  const logger = log.getLogger(Symbol(options.entryId));
  logger.methodFactory = (level) => (event: string, fields?: LogFields) => {
    const time = now().toISOString();
    const entry = options.entryId;
    write(JSON.stringify({ time, level, event, entry, ...fields }));
  };
  logger.setLevel(options.level ?? 'info', false);
  return Object.fromEntries(
    LEVELS.map((level) => [
      level,
      (event: string, fields?: LogFields) => {
        logger[level](event, fields);
      },
    ]),
  ) as unknown as Logger;
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}
