import type { LimitReport } from '@endivegate/core/forwarding';
import { z } from 'zod';

const rowsSchema = z.array(
  z.tuple([
    z.string(),
    z.number(),
    /** Requests per second; null if the target names no limit any more. */
    z.number().nonnegative().nullable(),
    /** Time since the response, in ms. */
    z.number().nonnegative(),
  ]),
);

/**
 * Encodes reports on limits.
 *
 * @param reports - The reports.
 * @param nowMs - Monotonic time of the sender.
 * @returns The seventh element of a message.
 */
export function encodeLimitRows(
  reports: readonly LimitReport[],
  nowMs: number,
): z.infer<typeof rowsSchema> {
  return reports.map(({ id, bornMs, requestsPerS, atMs }) => [
    id,
    bornMs,
    requestsPerS ?? null,
    Math.max(Math.round(nowMs - atMs), 0),
  ]);
}

/**
 * Decodes reports on limits.
 *
 * @param rows - The seventh element of a message; undefined if it has none.
 * @param nowMs - Monotonic time of the receiver.
 * @returns The reports, or undefined if there are none or they cannot be read.
 */
export function decodeLimitRows(
  rows: unknown,
  nowMs: number,
): readonly LimitReport[] | undefined {
  const parsed = rowsSchema.safeParse(rows);
  return parsed.success
    ? parsed.data.map(([id, bornMs, requestsPerS, ageMs]) => ({
        id,
        bornMs,
        requestsPerS: requestsPerS ?? undefined,
        atMs: nowMs - ageMs,
      }))
    : undefined;
}
