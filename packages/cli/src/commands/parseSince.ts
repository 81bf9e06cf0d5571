import * as E from 'fp-ts/lib/Either.js';
import type { CliError } from '../cliError.ts';
import { usageError } from './args.ts';

const UNIT_MS: Readonly<Record<string, number>> = {
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/**
 * Parses the start of a timeline: an age such as `5m`, or an ISO 8601 time.
 *
 * @param text - Text of the option, if given.
 * @param nowUnixMs - Current time, from which an age is subtracted.
 * @returns The start, `undefined` when absent, or a usage error.
 */
export function parseSince(
  text: string | undefined,
  nowUnixMs: number,
): E.Either<CliError, number | undefined> {
  if (text === undefined) return E.right(undefined);
  const age = /^(\d{1,9})([smh])$/.exec(text);
  if (age) {
    return E.right(nowUnixMs - Number(age[1]) * (UNIT_MS[age[2] ?? 's'] ?? 0));
  }
  const unixMs = Date.parse(text);
  return Number.isNaN(unixMs)
    ? E.left(usageError('--since must be an age such as 5m, or a time'))
    : E.right(unixMs);
}
