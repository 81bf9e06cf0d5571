import type { PartReport } from '@endivegate/core/forwarding';
import { z } from 'zod';

/** Rows that a message may have more than this one does are left out. */
const MAX_ROWS = 8;

/** Keeps a message within one network packet. */
const MAX_BYTES = 1000;

const MAX_TEXT_LENGTH = 128;
const MAX_PARTS = 12;
const MAX_LEVEL = 1000;

const text = z.string().max(MAX_TEXT_LENGTH);
const parts = z.array(text).max(MAX_PARTS);

/** Time since an event, in ms. */
const age = z.number().nonnegative();

const rowsSchema = z.tuple([
  /** Deaths: id, service, process, parts, ages of the send and of its end. */
  z.array(z.tuple([text, text, text, parts, age, age])).max(MAX_ROWS),
  /** Soundness: service, part and age. */
  z.array(z.tuple([text, text, age])).max(MAX_ROWS),
  /** Blocks: service, parts, cause, level and age. */
  z
    .array(
      z.tuple([text, parts, text, z.number().int().min(0).max(MAX_LEVEL), age]),
    )
    .max(MAX_ROWS),
]);

type Rows = z.infer<typeof rowsSchema>;

/**
 * Encodes reports on parts with ages, so that clocks need not be synchronised.
 *
 * @param report - The report, most important rows first.
 * @param nowMs - Monotonic time of the sender.
 * @returns Rows of at most 1,000 bytes: blocks first, then what clears parts, then
 * deaths.
 */
export function encodePartRows(report: PartReport, nowMs: number): Rows {
  const ageOf = (atMs: number): number => Math.max(Math.round(nowMs - atMs), 0);
  const blocks = report.blocks.map((one): Rows[2][number] => [
    one.service,
    [...one.parts],
    one.cause,
    one.level,
    ageOf(one.sinceMs),
  ]);
  const sounds = report.sounds.map((one): Rows[1][number] => [
    one.service,
    one.part,
    ageOf(one.atMs),
  ]);
  const deaths = report.deaths.map((one): Rows[0][number] => [
    one.id,
    one.service,
    one.process,
    [...one.parts],
    ageOf(one.sentAtMs),
    ageOf(one.endedAtMs),
  ]);
  const keptBlocks = takeBytes(blocks, MAX_BYTES);
  const leftForSounds = MAX_BYTES - bytesOf(keptBlocks);
  const keptSounds = takeBytes(sounds, leftForSounds / 2);
  const leftForDeaths = leftForSounds - bytesOf(keptSounds);
  return [takeBytes(deaths, leftForDeaths), keptSounds, keptBlocks];
}

/**
 * Decodes reports on parts.
 *
 * @param rows - The sixth element of a message; undefined if it has none.
 * @param nowMs - Monotonic time of the receiver.
 * @returns The report, or undefined if there is none or it cannot be read.
 */
export function decodePartRows(
  rows: unknown,
  nowMs: number,
): PartReport | undefined {
  const parsed = rowsSchema.safeParse(rows);
  if (!parsed.success) return undefined;
  const [deaths, sounds, blocks] = parsed.data;
  return {
    deaths: deaths.map(([id, service, process, shared, sentAge, endedAge]) => ({
      id,
      service,
      process,
      parts: shared,
      sentAtMs: nowMs - sentAge,
      endedAtMs: nowMs - endedAge,
    })),
    sounds: sounds.map(([service, part, soundAge]) => ({
      service,
      part,
      atMs: nowMs - soundAge,
    })),
    blocks: blocks.map(([service, blocked, cause, level, sinceAge]) => ({
      service,
      parts: blocked,
      cause,
      level,
      sinceMs: nowMs - sinceAge,
    })),
  };
}

/** Takes rows from the start until their size in text exceeds the limit. */
function takeBytes<T>(rows: readonly T[], maxBytes: number): T[] {
  return rows.filter(
    (_row, index) => bytesOf(rows.slice(0, index + 1)) <= maxBytes,
  );
}

/** An upper estimate: text takes more bytes than the encoded rows. */
function bytesOf(rows: readonly unknown[]): number {
  return Buffer.byteLength(JSON.stringify(rows));
}
