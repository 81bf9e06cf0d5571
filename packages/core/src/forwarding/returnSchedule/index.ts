import {
  type CapacityForecast,
  expectCapacityAtMs,
} from '../capacityForecast/index.ts';

/** A refused request that may return. */
export interface ReturningRequest {
  readonly memoryTokens: number;
  readonly prefillMs: number;
  /** Value of serving it, per capacity that it uses, from 0 to 1. */
  readonly valueShare: number;
  /** Fraction of its caller's time that is left, from 0 to 1. */
  readonly slackShare: number;
  /** Time left to its caller. */
  readonly timeLeftMs: number;
}

/** Capacity by kind. */
interface CapacityUse {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly prefillMs: number;
}

/** Return times that this entry has given out. */
export interface ReturnScheduleState {
  /** Capacity promised, by number of the interval since time 0. */
  readonly usedByInterval: ReadonlyMap<number, CapacityUse>;
  /** Number of times given out at the limit of the caller's time. */
  readonly atLimit: number;
}

/** Options of {@link scheduleReturn}. */
export interface ScheduleReturnOptions {
  /** Entries that share the capacity, with this one. */
  readonly entries: number;
  /** Capacity that requests which wait here take first. */
  readonly queuedMemoryTokens: number;
  readonly queuedRequests: number;
}

/** Schedule before the first refusal. */
export const initialReturnSchedule: ReturnScheduleState = {
  usedByInterval: new Map(),
  atLimit: 0,
};

/** Length of the intervals in which capacity is given out. */
const INTERVAL_MS = 50;

/** Earliest return: a round trip and a few passes of an engine. */
const MIN_DELAY_MS = 100;

/** Callers honour at most this fraction of their remaining time. */
const HONOURED_SHARE = 1 / 3;

/** Fraction of the limit from which times at the limit are spread. */
const SPREAD_FROM = 0.6;

/** Multiples of the golden ratio, modulo 1, are spread evenly for any count. */
const GOLDEN_RATIO = 0.618034;

/** Fraction of an interval's capacity open to requests of the least value and the
 * most slack; the rest is left to others that are refused later. */
const LEAST_OPEN_SHARE = 0.5;

const NO_USE: CapacityUse = { slots: 0, memoryTokens: 0, prefillMs: 0 };

/**
 * Chooses when a refused request returns, so that returns take capacity up as it
 * becomes free.
 *
 * An entry gives out one part of the capacity, the same for all entries, so no
 * messages are needed. Requests of less value and more slack get only a part of each
 * interval, and therefore later times.
 *
 * @param state - Times given out so far.
 * @param request - The refused request.
 * @param forecast - Expected free capacity.
 * @param options - Number of entries and demand of the local queue.
 * @returns The new schedule and the delay for Retry-After.
 *
 * @example
 * scheduleReturn(state, request, forecast, options).retryAfterMs;
 */
export function scheduleReturn(
  state: ReturnScheduleState,
  request: ReturningRequest,
  forecast: CapacityForecast,
  options: ScheduleReturnOptions,
): { readonly state: ReturnScheduleState; readonly retryAfterMs: number } {
  const { nowMs } = forecast;
  const maxDelayMs = Math.max(request.timeLeftMs, 0) * HONOURED_SHARE;
  const firstInterval = Math.floor((nowMs + MIN_DELAY_MS) / INTERVAL_MS);
  const lastInterval = Math.floor((nowMs + maxDelayMs) / INTERVAL_MS);
  const kept = new Map(
    [...state.usedByInterval].filter(([interval]) => interval >= firstInterval),
  );
  const openShare =
    LEAST_OPEN_SHARE +
    (1 - LEAST_OPEN_SHARE) *
      Math.max(request.valueShare, 1 - request.slackShare);
  const earliestMs = expectCapacityAtMs(forecast, {
    requests: options.queuedRequests + 1,
    memoryTokens: options.queuedMemoryTokens + request.memoryTokens,
  });
  const startInterval = Math.max(
    firstInterval,
    Math.floor(Math.min(earliestMs, nowMs + maxDelayMs + 1) / INTERVAL_MS),
  );
  let needed: CapacityUse = { ...request, slots: 1 };
  for (let at = startInterval; at <= lastInterval; at += 1) {
    const used = kept.get(at) ?? NO_USE;
    const open = openCapacity(forecast, at, options.entries);
    const taken = takeUse(needed, open, used, openShare);
    kept.set(at, addUse(used, taken));
    needed = subtractUse(needed, taken);
    if (isNothing(needed)) {
      const atMs = at * INTERVAL_MS + fractionOf(used, open) * INTERVAL_MS;
      const delayMs = Math.max(atMs - nowMs, MIN_DELAY_MS);
      return {
        state: { ...state, usedByInterval: kept },
        retryAfterMs: Math.min(delayMs, maxDelayMs),
      };
    }
  }
  const atLimit = state.atLimit + 1;
  const spread = (atLimit * GOLDEN_RATIO) % 1;
  return {
    // What could not be given out in time is left to others.
    state: { ...state, atLimit },
    retryAfterMs: maxDelayMs * (SPREAD_FROM + (1 - SPREAD_FROM) * spread),
  };
}

/** Capacity that becomes free in an interval, as one entry's part of it. */
function openCapacity(
  forecast: CapacityForecast,
  interval: number,
  entries: number,
): CapacityUse {
  const { nowMs, ends, targets, totalSlots, holdMs } = forecast;
  const fromMs = interval * INTERVAL_MS;
  const isFirst = fromMs <= nowMs + MIN_DELAY_MS;
  const ending = ends.filter(
    ({ endsAtMs }) =>
      endsAtMs < fromMs + INTERVAL_MS && (isFirst || endsAtMs >= fromMs),
  );
  const lastEndMs = ends.at(-1)?.endsAtMs ?? nowMs;
  const meanShare = fromMs > lastEndMs ? INTERVAL_MS / Math.max(holdMs, 1) : 0;
  const freeSlots = isFirst ? Math.max(forecast.freeSlots, 0) : 0;
  const freeTokens = isFirst ? Math.max(forecast.freeMemoryTokens, 0) : 0;
  const backlogMs = forecast.prefillBacklogMs / Math.max(targets, 1);
  const readsMs = Math.min(
    Math.max(fromMs + INTERVAL_MS - nowMs - backlogMs, 0),
    INTERVAL_MS,
  );
  const part = 1 / Math.max(entries, 1);
  return {
    slots: part * (ending.length + freeSlots + meanShare * totalSlots),
    memoryTokens:
      part *
      (ending.reduce((sum, end) => sum + end.memoryTokens, 0) +
        freeTokens +
        meanShare * forecast.totalMemoryTokens),
    prefillMs: part * targets * readsMs,
  };
}

function takeUse(
  needed: CapacityUse,
  open: CapacityUse,
  used: CapacityUse,
  share: number,
): CapacityUse {
  const take = (kind: keyof CapacityUse): number =>
    Math.min(needed[kind], Math.max(open[kind] * share - used[kind], 0));
  return {
    slots: take('slots'),
    memoryTokens: take('memoryTokens'),
    prefillMs: take('prefillMs'),
  };
}

function addUse(a: CapacityUse, b: CapacityUse): CapacityUse {
  return {
    slots: a.slots + b.slots,
    memoryTokens: a.memoryTokens + b.memoryTokens,
    prefillMs: a.prefillMs + b.prefillMs,
  };
}

function subtractUse(a: CapacityUse, b: CapacityUse): CapacityUse {
  return {
    slots: a.slots - b.slots,
    memoryTokens: a.memoryTokens - b.memoryTokens,
    prefillMs: a.prefillMs - b.prefillMs,
  };
}

/** Rounding errors below this are nothing. */
const TOLERANCE = 1e-6;

function isNothing(use: CapacityUse): boolean {
  return Math.max(use.slots, use.memoryTokens, use.prefillMs) < TOLERANCE;
}

/** Fraction of an interval's slots that is given out, from 0 to 1. */
function fractionOf(used: CapacityUse, open: CapacityUse): number {
  return open.slots <= 0 ? 0 : Math.min(used.slots / open.slots, 1);
}
