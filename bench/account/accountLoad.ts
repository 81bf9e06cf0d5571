import { percentile } from '../_lib/percentile.ts';
import type { LogLine } from './readLines.ts';

/** Lengths of prompts, in ascending order; plain calls have none. */
export const LENGTHS = ['plain', 'short', 'medium', 'long'] as const;

/** See {@link LENGTHS}. */
export type Length = (typeof LENGTHS)[number];

/** Prompts below these numbers of tokens are short and medium. */
const SHORT_TOKENS = 25_000;
const MEDIUM_TOKENS = 120_000;

const MS_PER_S = 1000;

/** What happened to the requests of one length that arrived in one second. */
export interface SecondOfLoad {
  /** Time since the first request, in seconds. */
  readonly second: number;
  readonly length: Length;
  readonly requests: number;
  /** Requests that ended otherwise than answered, by their end. */
  readonly unanswered: Readonly<Record<string, number>>;
  /** Sends that targets refused. */
  readonly refusedSends: number;
  /** Time to the first event, or to the end of a plain call. */
  readonly p50Ms: number;
  readonly p95Ms: number;
}

interface RequestAccount {
  arrivedAtMs: number;
  length: Length;
  end: string;
  refusedSends: number;
  firstEventMs: number | undefined;
}

/**
 * Accounts for the requests in the logs of all entries, second by second.
 *
 * @param lines - The log lines of all entries.
 * @returns One row for each second and length that had requests.
 */
export function accountLoad(
  lines: readonly LogLine[],
): readonly SecondOfLoad[] {
  const requests = [...collectRequests(lines).values()].filter(
    ({ end }) => end !== '',
  );
  const startMs = Math.min(...requests.map(({ arrivedAtMs }) => arrivedAtMs));
  const groups = groupBy(
    requests,
    ({ arrivedAtMs, length }) =>
      `${Math.floor((arrivedAtMs - startMs) / MS_PER_S)} ${length}`,
  );
  return [...groups]
    .map(([key, group]) => toRow(key, group))
    .toSorted(
      (a, b) =>
        a.second - b.second ||
        LENGTHS.indexOf(a.length) - LENGTHS.indexOf(b.length),
    );
}

function collectRequests(
  lines: readonly LogLine[],
): ReadonlyMap<string, RequestAccount> {
  const requests = new Map<string, RequestAccount>();
  lines.forEach((line) => {
    if (line.request === undefined) return;
    const known: RequestAccount = requests.get(line.request) ?? {
      arrivedAtMs: Date.parse(line.time),
      length: 'plain',
      end: '',
      refusedSends: 0,
      firstEventMs: undefined,
    };
    requests.set(line.request, known);
    applyLine(known, line);
  });
  return requests;
}

function applyLine(request: RequestAccount, line: LogLine): void {
  switch (line.event) {
    case 'request.sent':
      request.length = lengthOf(line.promptTokens);
      return;
    case 'request.firstEvent':
      request.firstEventMs ??= line.elapsedMs;
      return;
    case 'send.ended':
      if (line.end === 'refused') request.refusedSends += 1;
      return;
    case 'request.notAdmitted':
      request.length = 'short';
      return;
    case 'request.ended':
      request.end = line.end ?? '';
      request.arrivedAtMs = Date.parse(line.time) - (line.elapsedMs ?? 0);
      if (request.length === 'plain') request.firstEventMs ??= line.elapsedMs;
  }
}

function lengthOf(promptTokens: number | undefined): Length {
  if (promptTokens === undefined) return 'plain';
  if (promptTokens < SHORT_TOKENS) return 'short';
  return promptTokens < MEDIUM_TOKENS ? 'medium' : 'long';
}

function toRow(key: string, group: readonly RequestAccount[]): SecondOfLoad {
  const [second = '', length = 'plain'] = key.split(' ');
  const waitsMs = group.flatMap(({ firstEventMs }) => firstEventMs ?? []);
  const ends = groupBy(
    group.filter(({ end }) => end !== 'answered'),
    ({ end }) => end,
  );
  return {
    second: Number(second),
    length: LENGTHS.find((one) => one === length) ?? 'plain',
    requests: group.length,
    unanswered: Object.fromEntries(
      [...ends].map(([end, some]) => [end, some.length]),
    ),
    refusedSends: group.reduce((sum, one) => sum + one.refusedSends, 0),
    p50Ms: percentile(waitsMs, 50),
    p95Ms: percentile(waitsMs, 95),
  };
}

function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    groups.set(key, [...(groups.get(key) ?? []), item]);
  });
  return groups;
}
