/** Memory and slots that a request in flight holds, and its expected end. */
export interface ExpectedEnd {
  readonly endsAtMs: number;
  readonly memoryTokens: number;
}

/** Capacity of a service's targets and when it becomes free. */
export interface CapacityForecast {
  readonly nowMs: number;
  readonly freeSlots: number;
  readonly freeMemoryTokens: number;
  /** Expected ends of the requests in flight, in order of time. */
  readonly ends: readonly ExpectedEnd[];
  readonly totalSlots: number;
  readonly totalMemoryTokens: number;
  /** Mean time for which a request holds its capacity. */
  readonly holdMs: number;
  /** Number of targets, each of which prefills 1 ms of prompt in 1 ms. */
  readonly targets: number;
  /** Prefill time of the prompts that targets have not read yet. */
  readonly prefillBacklogMs: number;
}

/** Capacity that a request needs, with that of the requests before it. */
export interface CapacityDemand {
  readonly requests: number;
  readonly memoryTokens: number;
}

/**
 * Estimates when as much capacity as asked for is free. After the last expected end,
 * capacity is assumed to become free at the mean rate of busy targets.
 *
 * @param forecast - Free capacity and expected ends.
 * @param demand - Slots and memory asked for.
 * @returns Monotonic time; Infinity if the targets never have as much memory.
 *
 * @example
 * expectCapacityAtMs(forecast, { requests: 1, memoryTokens: 6_700 });
 */
export function expectCapacityAtMs(
  forecast: CapacityForecast,
  demand: CapacityDemand,
): number {
  const { nowMs, ends, totalSlots, totalMemoryTokens, holdMs } = forecast;
  if (totalSlots === 0 || totalMemoryTokens === 0) return Infinity;
  let slots = demand.requests - forecast.freeSlots;
  let tokens = demand.memoryTokens - forecast.freeMemoryTokens;
  if (slots <= 0 && tokens <= 0) return nowMs;
  for (const end of ends) {
    slots -= 1;
    tokens -= end.memoryTokens;
    if (slots <= 0 && tokens <= 0) return Math.max(end.endsAtMs, nowMs);
  }
  const lastEndMs = Math.max(ends.at(-1)?.endsAtMs ?? nowMs, nowMs);
  const share = Math.max(slots / totalSlots, tokens / totalMemoryTokens);
  return lastEndMs + share * holdMs;
}
