/** A request at an entry that shuts down. */
export interface GraceQuery {
  /** Time from the beginning of the shutdown until the request was read; negative if it was
   * read before. */
  readonly readMs: number;
  /** Time from the beginning for which callers that do not know of the shutdown may choose
   * this entry. */
  readonly addressesMs: number;
  /** Time since the entry began to shut down. */
  readonly elapsedMs: number;
  /** Time until it ends open requests. */
  readonly leftMs: number;
  /** Time after which the request ends at the latest: its deadline or the timeout of its
   * route. */
  readonly boundMs: number;
  /** Longest time that such requests took; undefined if unknown. */
  readonly longestMs: number | undefined;
  /** Whether the entry may end the request with an error: it may run again, and its answer is
   * delivered only when it is whole. */
  readonly canEndEarly: boolean;
}

/** Requests may take somewhat longer than the longest one so far. */
const DURATION_FACTOR = 1.25;

/** Delivery of the last bytes, and a slow machine. */
const MARGIN_MS = 150;

/** Share of the grace period in which requests of unknown duration are taken: callers that
 * do not know of the shutdown yet send most of them, and most are short. */
const UNKNOWN_SHARE = 0.4;

/**
 * Checks whether a request ends before an entry that shuts down does. One that does not is
 * better refused at once: it has not run, and another entry can serve all of it.
 *
 * Only its deadline and the timeout of its route bound a request. How long others took says
 * nothing about targets that become slower meanwhile. Once callers have other addresses, such an
 * estimate is used only for requests that can end early when it turns out to be wrong.
 *
 * @param query - The request, and the rest of the grace period.
 * @returns Whether the request is taken.
 *
 * @example
 * fitsGrace({ ...query, readMs: 5000, leftMs: 2200, boundMs: 2000 }); // true
 */
export function fitsGrace(query: GraceQuery): boolean {
  const { elapsedMs, leftMs, boundMs, longestMs } = query;
  if (boundMs + MARGIN_MS <= leftMs) return true;
  const isLate = query.readMs > query.addressesMs;
  if (isLate && !query.canEndEarly) return false;
  return longestMs === undefined
    ? elapsedMs < UNKNOWN_SHARE * (elapsedMs + leftMs)
    : longestMs * DURATION_FACTOR + MARGIN_MS <= leftMs;
}
