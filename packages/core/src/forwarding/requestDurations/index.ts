import type { Step } from '../../step/index.ts';

/** What requests of one kind are told apart by. */
export interface RequestClass {
  /** Name of the route. */
  readonly route: string;
  /** Tokens of the prompt, and most tokens of its output; undefined for plain calls. */
  readonly prompt:
    | { readonly promptTokens: number; readonly maxOutputTokens: number }
    | undefined;
}

/** A request that was answered in full. */
export interface DurationsEvent extends RequestClass {
  readonly type: 'durations.answered';
  readonly atMs: number;
  /** Time from its arrival to the end of the answer. */
  readonly elapsedMs: number;
}

interface Period {
  readonly count: number;
  readonly longestMs: number;
  /** Time of the last answer. */
  readonly lastAtMs: number;
}

interface Durations {
  readonly sinceMs: number;
  readonly current: Period;
  readonly previous: Period;
}

/** Longest durations by kind of request, in two periods each. */
export type DurationsState = ReadonlyMap<string, Durations>;

/** Durations before the first answer. */
export const initialDurations: DurationsState = new Map();

/** What is known lasts for one to two periods. */
const PERIOD_MS = 60_000;

/** Fewer answers say too little about the longest one. */
const MIN_ANSWERS = 20;

/** Kinds beyond these are not recorded; their route is. */
const MAX_KINDS = 4096;

const NO_ANSWERS: Period = { count: 0, longestMs: 0, lastAtMs: -Infinity };

/**
 * Records how long requests take, by route and by the size of their prompt.
 *
 * @param state - Current durations.
 * @param event - The answered request.
 * @returns The new durations, without effects.
 *
 * @example
 * reduceDurations(initialDurations, { type: 'durations.answered', ...answered });
 */
export function reduceDurations(
  state: DurationsState,
  event: DurationsEvent,
): Step<DurationsState, never> {
  const kinds = keysOf(event).filter(
    (key) => state.has(key) || state.size < MAX_KINDS,
  );
  const recorded = kinds.map(
    (key) => [key, withAnswer(state.get(key), event)] as const,
  );
  return { state: new Map([...state, ...recorded]), effects: [] };
}

/** The longest time that requests of a kind took. */
export interface LongestDuration {
  readonly longestMs: number;
  /** Whether there were enough answers to expect no longer one. */
  readonly isCertain: boolean;
  /** Number of answers that it is taken from. */
  readonly answers: number;
  /** Time since the last of them; undefined without answers. */
  readonly ageMs: number | undefined;
}

/**
 * Returns the longest time that a request like this took within the last minutes.
 *
 * @param state - Current durations.
 * @param kind - The request.
 * @param nowMs - Current monotonic time.
 * @returns The longest time of its kind, or of its route if there were too few; 0 if there
 * were none.
 *
 * @example
 * longestDuration(state.durations, { route: 'read', prompt: undefined }, now());
 */
export function longestDuration(
  state: DurationsState,
  kind: RequestClass,
  nowMs: number,
): LongestDuration {
  const known = keysOf(kind)
    .map((key) => periodsOf(state.get(key), nowMs))
    .map((periods) => summarize(periods, nowMs));
  return (
    known.find(({ isCertain }) => isCertain) ??
    known.at(-1) ??
    summarize({ current: NO_ANSWERS, previous: NO_ANSWERS }, nowMs)
  );
}

function summarize(
  { current, previous }: Pick<Durations, 'current' | 'previous'>,
  nowMs: number,
): LongestDuration {
  const answers = current.count + previous.count;
  const lastAtMs = Math.max(current.lastAtMs, previous.lastAtMs);
  return {
    longestMs: Math.max(current.longestMs, previous.longestMs),
    isCertain: answers >= MIN_ANSWERS,
    answers,
    ageMs: answers === 0 ? undefined : nowMs - lastAtMs,
  };
}

/** The request's kind, and then its route as a whole. */
function keysOf({ route, prompt }: RequestClass): readonly string[] {
  if (prompt === undefined) return [route];
  const sizes = [prompt.promptTokens, prompt.maxOutputTokens].map((tokens) =>
    Math.ceil(Math.log2(Math.max(tokens, 1))),
  );
  return [`${route}\n${sizes.join('/')}`, route];
}

function withAnswer(
  known: Durations | undefined,
  { atMs, elapsedMs }: DurationsEvent,
): Durations {
  const periods = periodsOf(known, atMs);
  const { count, longestMs } = periods.current;
  return {
    ...periods,
    current: {
      count: count + 1,
      longestMs: Math.max(longestMs, elapsedMs),
      lastAtMs: atMs,
    },
  };
}

/** The periods at a time, which may be later than the last answer. */
function periodsOf(known: Durations | undefined, atMs: number): Durations {
  const ageMs = atMs - (known?.sinceMs ?? -Infinity);
  if (known === undefined || ageMs >= 2 * PERIOD_MS) {
    return { sinceMs: atMs, current: NO_ANSWERS, previous: NO_ANSWERS };
  }
  return ageMs < PERIOD_MS
    ? known
    : { sinceMs: atMs, current: NO_ANSWERS, previous: known.current };
}
