import type { PartReport } from '@endivegate/core/forwarding';
import { z } from 'zod';
import { chunkRows } from './chunkRows.ts';
import { pathOf } from './peerExtensions.ts';

/** Builds of protocol version 1 drop reports with more rows of a kind. */
const MAX_ROWS = 8;

const MAX_LEVEL = 1000;

const text = z.string();
const parts = z.array(text);

/** Time since an event, in ms. */
const age = z.number().nonnegative();

/** Id, service, process, parts, ages of the send and of its end. */
const deathSchema = z.tuple([text, text, text, parts, age, age]);

/** Service, part and age. */
const soundSchema = z.tuple([text, text, age]);

/** Service, parts, cause, level and age. */
const blockSchema = z.tuple([
  text,
  parts,
  text,
  z.number().int().min(0).max(MAX_LEVEL),
  age,
]);

const rowsSchema = z.tuple([
  z.array(z.unknown()),
  z.array(z.unknown()),
  z.array(z.unknown()),
]);

type Rows = readonly [
  readonly z.infer<typeof deathSchema>[],
  readonly z.infer<typeof soundSchema>[],
  readonly z.infer<typeof blockSchema>[],
];

/** A report as far as it could be read. */
export interface ReceivedPartReport {
  /** Undefined if there is none, or none of it could be read. */
  readonly report: PartReport | undefined;
  /** Paths of unreadable rows, as in `0.3`; empty for the whole report. */
  readonly malformed: readonly string[];
}

/**
 * Encodes reports on parts with ages, so that clocks need not be synchronised.
 *
 * @param report - The report.
 * @param nowMs - Monotonic time of the sender.
 * @returns The sixth element of a message.
 */
export function encodePartRows(report: PartReport, nowMs: number): Rows {
  const ageOf = (atMs: number): number => Math.max(Math.round(nowMs - atMs), 0);
  return [
    report.deaths.map((one) => [
      one.id,
      one.service,
      one.process,
      [...one.parts],
      ageOf(one.sentAtMs),
      ageOf(one.endedAtMs),
    ]),
    report.sounds.map((one) => [one.service, one.part, ageOf(one.atMs)]),
    report.blocks.map((one) => [
      one.service,
      [...one.parts],
      one.cause,
      one.level,
      ageOf(one.sinceMs),
    ]),
  ];
}

/**
 * Divides a report into messages that fit into one network packet each, so that long
 * names leave nothing out.
 *
 * @param report - The report, most important rows of each kind first.
 * @returns Reports: blocks first, then what clears parts, then deaths.
 */
export function splitPartReport(report: PartReport): readonly PartReport[] {
  const empty: PartReport = { deaths: [], sounds: [], blocks: [] };
  const limits = { maxRows: MAX_ROWS };
  return [
    ...chunkRows(report.blocks, limits).map((blocks) => ({ ...empty, blocks })),
    ...chunkRows(report.sounds, limits).map((sounds) => ({ ...empty, sounds })),
    ...chunkRows(report.deaths, limits).map((deaths) => ({ ...empty, deaths })),
  ];
}

/**
 * Decodes reports on parts. A row that cannot be read does not affect the others.
 *
 * @param rows - The sixth element of a message; undefined or null if it has none.
 * @param nowMs - Monotonic time of the receiver.
 * @returns The readable rows, and where the others are.
 */
export function decodePartRows(
  rows: unknown,
  nowMs: number,
): ReceivedPartReport {
  if (rows === undefined || rows === null) {
    return { report: undefined, malformed: [] };
  }
  const parsed = rowsSchema.safeParse(rows);
  if (!parsed.success) return { report: undefined, malformed: [''] };
  const [deaths, sounds, blocks] = [
    readRows(parsed.data[0], deathSchema, '0'),
    readRows(parsed.data[1], soundSchema, '1'),
    readRows(parsed.data[2], blockSchema, '2'),
  ] as const;
  const report: PartReport = {
    deaths: deaths.read.map(
      ([id, service, process, shared, sentAge, endedAge]) => ({
        id,
        service,
        process,
        parts: shared,
        sentAtMs: nowMs - sentAge,
        endedAtMs: nowMs - endedAge,
      }),
    ),
    sounds: sounds.read.map(([service, part, soundAge]) => ({
      service,
      part,
      atMs: nowMs - soundAge,
    })),
    blocks: blocks.read.map(([service, blocked, cause, level, sinceAge]) => ({
      service,
      parts: blocked,
      cause,
      level,
      sinceMs: nowMs - sinceAge,
    })),
  };
  const isEmpty = [deaths, sounds, blocks].every(
    (one) => one.read.length === 0,
  );
  return {
    report: isEmpty ? undefined : report,
    malformed: [deaths, sounds, blocks].flatMap((one) => one.malformed),
  };
}

function readRows<T>(
  rows: readonly unknown[],
  schema: z.ZodType<T>,
  path: string,
): { readonly read: readonly T[]; readonly malformed: readonly string[] } {
  const results = rows.map((row) => schema.safeParse(row));
  return {
    read: results.flatMap((one) => (one.success ? [one.data] : [])),
    malformed: results.flatMap((one, index) =>
      one.success
        ? []
        : [
            [path, index, pathOf(one.error)]
              .filter((at) => at !== '')
              .join('.'),
          ],
    ),
  };
}
