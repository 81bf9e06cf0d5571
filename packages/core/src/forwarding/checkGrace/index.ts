import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import { fitsGrace, type GraceQuery } from '../fitsGrace/index.ts';
import {
  type DurationsState,
  longestDuration,
  type RequestClass,
} from '../requestDurations/index.ts';

/** A request that may be sent while its entry shuts down. */
export interface CheckGraceQuery {
  /** The grace period now. */
  readonly grace: Pick<GraceQuery, 'elapsedMs' | 'leftMs' | 'addressesMs'>;
  /** Current monotonic time. */
  readonly nowMs: number;
  /** When the request was read in full. */
  readonly readAtMs: number;
  readonly deadlineAtMs: number;
  readonly kind: RequestClass;
  readonly repeat: ForwardingRoute['repeat'];
}

/** What is known of such requests, and the decision. */
export interface CheckGraceOptions {
  readonly durations: DurationsState;
  /** Time that the request takes by a cost model; undefined if there is none. */
  readonly modelledMs: () => number | undefined;
  /** Decides whether a request is taken; {@link fitsGrace} by default. */
  readonly fits?: (query: GraceQuery) => boolean;
}

/** How long a request is expected to take at the longest, and what this rests on. */
export interface ExpectedDuration {
  /** Longest time expected; undefined if unknown. */
  readonly expectedMs: number | undefined;
  /** What the expected time is taken from. */
  readonly source: 'answers' | 'model' | 'none';
  /** Number of answers of its kind, and the time since the last one. */
  readonly answers: number;
  readonly answersAgeMs: number | undefined;
}

/** Whether an entry that shuts down takes a request, and what this rests on. */
export interface GraceCheck extends ExpectedDuration {
  readonly isTaken: boolean;
  /** Time from the beginning of the shutdown until the request was read. */
  readonly readMs: number;
  /** Time after which the request ends at the latest. */
  readonly boundMs: number;
}

/**
 * Checks whether a request that is sent now ends before its entry does.
 *
 * @param query - The request, and the grace period of its entry.
 * @param options - What is known of such requests.
 * @returns The result, and what it rests on.
 *
 * @example
 * checkGrace(query, { durations, modelledMs: () => undefined }).isTaken;
 */
export function checkGrace(
  query: CheckGraceQuery,
  options: CheckGraceOptions,
): GraceCheck {
  const { grace, nowMs } = query;
  const { fits = fitsGrace } = options;
  const boundMs = query.deadlineAtMs - nowMs;
  const expected = expectedDuration(query, options);
  const readMs = grace.elapsedMs - (nowMs - query.readAtMs);
  const isTaken = fits({
    ...grace,
    readMs,
    boundMs,
    longestMs: expected.expectedMs,
    canEndEarly: query.repeat === 'idempotent',
  });
  return { isTaken, readMs, boundMs, ...expected };
}

/** Few answers may contradict the cost model, for example of slow engines. */
function expectedDuration(
  { kind, nowMs }: CheckGraceQuery,
  { durations, modelledMs }: CheckGraceOptions,
): ExpectedDuration {
  const known = longestDuration(durations, kind, nowMs);
  const { answers, longestMs, ageMs: answersAgeMs } = known;
  const fromAnswers = { answers, answersAgeMs };
  if (known.isCertain) {
    return { expectedMs: longestMs, source: 'answers', ...fromAnswers };
  }
  const byModelMs = modelledMs();
  if (byModelMs === undefined) {
    return { expectedMs: undefined, source: 'none', ...fromAnswers };
  }
  return byModelMs < longestMs
    ? { expectedMs: longestMs, source: 'answers', ...fromAnswers }
    : { expectedMs: byModelMs, source: 'model', ...fromAnswers };
}
