import { write } from 'node:fs';
import log from 'loglevel';

/** Fields of a log line; undefined ones are left out. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/** Writes structured lines; `event` names what happened. */
export interface EventLog {
  readonly info: (event: string, fields?: EventFields) => void;
  readonly warn: (event: string, fields?: EventFields) => void;
  /** Lines that were left out since the start. */
  readonly droppedLines: () => number;
  /** Writes what is buffered, and calls back. */
  readonly flush: (done: () => void) => void;
}

/** Options of {@link createEventLog}. */
export interface CreateEventLogOptions {
  readonly entryId: string;
  /** Receives text of whole lines; standard output by default. */
  readonly write?: (text: string, done: () => void) => void;
  /** Wall clock, for the `time` field. */
  readonly now?: () => Date;
  /** Text waiting to be written, above which lines are dropped. */
  readonly maxBufferedBytes?: number;
  /** Lines a second, above which lines are dropped. */
  readonly maxLinesPerS?: number;
}

/** Lines are gathered for this long, so that a burst costs one write. */
const FLUSH_MS = 50;

const MOST_BUFFERED_BYTES = 256 * 1024;

/** Ten lines for each request of the busiest entry that is planned for. */
const MOST_LINES_PER_S = 400;

const MS_PER_S = 1000;
const STANDARD_OUTPUT = 1;

/**
 * Creates a log of structured lines that never blocks its caller.
 *
 * One write is outstanding at a time; lines above the bounds on buffered text
 * and on lines a second are dropped and counted, and the count is written with
 * the next line that is not dropped.
 *
 * @param options - Name of the entry, and bounds.
 * @returns The log.
 *
 * @example
 * createEventLog({ entryId: 'e1' }).info('start', { pid: process.pid });
 */
export function createEventLog(options: CreateEventLogOptions): EventLog {
  const {
    now = () => new Date(),
    maxBufferedBytes: mostBufferedBytes = MOST_BUFFERED_BYTES,
    maxLinesPerS: mostLinesPerS = MOST_LINES_PER_S,
  } = options;
  const writeText = options.write ?? writeToStandardOutput;
  const buffered: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let dropped = 0;
  let toldDropped = 0;
  let second = 0;
  let linesInSecond = 0;

  function isOverRate(atMs: number): boolean {
    const current = Math.floor(atMs / MS_PER_S);
    if (current !== second) {
      second = current;
      linesInSecond = 0;
    }
    linesInSecond += 1;
    return linesInSecond > mostLinesPerS;
  }

  function append(level: string, event: string, fields: EventFields): void {
    const time = now();
    if (isOverRate(time.getTime()) || bufferedBytes > mostBufferedBytes) {
      dropped += 1;
      return;
    }
    const droppedLines = dropped > toldDropped ? dropped : undefined;
    toldDropped = dropped;
    const line = JSON.stringify({
      time: time.toISOString(),
      level,
      event,
      entry: options.entryId,
      ...fields,
      droppedLines,
    });
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

function writeToStandardOutput(text: string, done: () => void): void {
  write(STANDARD_OUTPUT, text, () => {
    done();
  });
}
