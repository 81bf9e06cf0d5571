import { write } from 'node:fs';
import log from 'loglevel';

/** Fields of a log line; undefined values are omitted, and bigints are written as text. */
export type EventFields = Readonly<
  Record<
    string,
    string | number | bigint | boolean | readonly string[] | undefined
  >
>;

/** Structured log; `event` is the name of the event. */
export interface EventLog {
  readonly info: (event: string, fields?: EventFields) => void;
  readonly warn: (event: string, fields?: EventFields) => void;
  /** Number of lines dropped since the start. */
  readonly droppedLines: () => number;
  /** Writes the buffered lines, then calls `done`. */
  readonly flush: (done: () => void) => void;
}

/** Options of {@link createEventLog}. */
export interface CreateEventLogOptions {
  readonly entryId: string;
  /** Writes complete lines; to standard output by default. */
  readonly write?: (text: string, done: () => void) => void;
  /** Wall clock, for the `time` field. */
  readonly now?: () => Date;
  /** Size of the buffered text above which lines are dropped. */
  readonly maxBufferedBytes?: number;
  /** Lines per second above which lines are dropped. */
  readonly maxLinesPerS?: number;
}

/** Lines are buffered for this long, so that a burst takes a single write. */
const FLUSH_MS = 50;

const MAX_BUFFERED_BYTES = 256 * 1024;

/** Ten lines per request at the highest planned load of an entry. */
const MAX_LINES_PER_S = 400;

const MS_PER_S = 1000;
const STDOUT_FD = 1;

/**
 * Creates a structured log that never blocks the caller.
 *
 * Only one write is in progress at a time. Lines above the limits for buffered
 * text and lines per second are dropped and counted. The next line that is not
 * dropped includes the count.
 *
 * @param options - Id of the entry, and limits.
 * @returns The log.
 *
 * @example
 * createEventLog({ entryId: 'e1' }).info('start', { pid: process.pid });
 */
export function createEventLog(options: CreateEventLogOptions): EventLog {
  const {
    now = () => new Date(),
    maxBufferedBytes = MAX_BUFFERED_BYTES,
    maxLinesPerS = MAX_LINES_PER_S,
  } = options;
  const writeText = options.write ?? writeToStandardOutput;
  const buffered: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let dropped = 0;
  let reportedDropped = 0;
  let currentSecond = 0;
  let linesInSecond = 0;

  function exceedsRate(atMs: number): boolean {
    const atSecond = Math.floor(atMs / MS_PER_S);
    if (atSecond !== currentSecond) {
      currentSecond = atSecond;
      linesInSecond = 0;
    }
    linesInSecond += 1;
    return linesInSecond > maxLinesPerS;
  }

  function append(level: string, event: string, fields: EventFields): void {
    const time = now();
    if (exceedsRate(time.getTime()) || bufferedBytes > maxBufferedBytes) {
      dropped += 1;
      return;
    }
    const droppedLines = dropped > reportedDropped ? dropped : undefined;
    reportedDropped = dropped;
    const line = JSON.stringify(
      {
        time: time.toISOString(),
        level,
        event,
        entry: options.entryId,
        ...fields,
        droppedLines,
      },
      writeBigint,
    );
    buffered.push(line);
    bufferedBytes += line.length + 1;
    timer ??= setTimeout(flush, FLUSH_MS);
  }

  function flush(done: () => void = () => undefined): void {
    timer = undefined;
    if (isWriting || buffered.length === 0) {
      done();
      return;
    }
    isWriting = true;
    const text = `${buffered.splice(0).join('\n')}\n`;
    bufferedBytes = 0;
    writeText(text, () => {
      isWriting = false;
      if (buffered.length > 0) timer ??= setTimeout(flush, FLUSH_MS);
      done();
    });
  }

  const logger = log.getLogger(Symbol(options.entryId));
  logger.methodFactory = (level) => (event: string, fields: EventFields) => {
    append(level, event, fields);
  };
  logger.setLevel('info', false);
  return {
    info: (event, fields = {}) => {
      logger.info(event, fields);
    },
    warn: (event, fields = {}) => {
      logger.warn(event, fields);
    },
    droppedLines: () => dropped,
    flush,
  };
}

/** Replaces bigints, which JSON lacks. */
function writeBigint(_key: string, value: unknown): unknown {
  return typeof value === 'bigint' ? String(value) : value;
}

function writeToStandardOutput(text: string, done: () => void): void {
  write(STDOUT_FD, text, () => {
    done();
  });
}
