import type { ForwardingService } from '@endivegate/contracts/forwarding';
import {
  allFlights,
  allLoads,
  availableTargets,
  type CapacityForecast,
  expectCapacityAtMs,
  type GatewayState,
  type InFlightRequest,
  NO_LOAD,
  type QueueCapacity,
} from '@endivegate/core/forwarding';

/** Time that requests hold their capacity, by kind of prompt. */
export interface HoldTimes {
  readonly shortMs: number;
  readonly longMs: number;
}

/** Options of {@link createServiceCapacity}. */
export interface ServiceCapacityOptions {
  readonly service: ForwardingService;
  readonly nowMs: number;
  /** Fraction of memory that is used. */
  readonly utilisation: number;
  readonly hold: HoldTimes;
  readonly fits: QueueCapacity['fits'];
}

/** Capacity of a service's targets. */
export interface ServiceCapacity extends QueueCapacity {
  readonly forecast: CapacityForecast;
}

/** A request beyond its expected end is expected to end within this fraction of the
 * usual time. */
const OVERDUE_SHARE = 0.2;

/** Hold times before the first request has ended: about 30 passes of an engine for
 * a short prompt. */
export const INITIAL_HOLD: HoldTimes = { shortMs: 2000, longMs: 4000 };

/** Weight of the latest request in the mean. */
const HOLD_WEIGHT = 0.1;

/** Updates the mean hold time with a request that has ended. */
export function noteHold(
  hold: HoldTimes,
  ended: InFlightRequest,
  nowMs: number,
): HoldTimes {
  const heldMs = nowMs - ended.startedAtMs;
  const mean = (before: number): number =>
    before + (heldMs - before) * HOLD_WEIGHT;
  return ended.isShort
    ? { ...hold, shortMs: mean(hold.shortMs) }
    : { ...hold, longMs: mean(hold.longMs) };
}

/** Computes the capacity that the targets of a service have, and are expected to have. */
export function createServiceCapacity(
  state: GatewayState,
  options: ServiceCapacityOptions,
): ServiceCapacity {
  const { service, nowMs, utilisation, hold, fits } = options;
  const targets = availableTargets(state, service.name, nowMs);
  const ids = new Set(targets.map(({ id }) => id));
  const loads = allLoads(state.load, nowMs);
  const sumOf = (valueOf: (id: string, slots: number) => number): number =>
    targets.reduce((sum, { id, slots }) => sum + valueOf(id, slots), 0);
  const loadOf = (id: string) => loads.get(id) ?? NO_LOAD;
  const memoryTokens = (service.engine?.memoryTokens ?? 0) * utilisation;
  const flights = allFlights(state.load, nowMs);
  const ends = flights
    .map((flight) => toEnd(flight, { ids, hold, nowMs }))
    .filter((end) => end.memoryTokens > 0 || end.isHere)
    .toSorted((a, b) => a.endsAtMs - b.endsAtMs);
  const forecast: CapacityForecast = {
    nowMs,
    freeSlots: sumOf((id, slots) => Math.max(slots - loadOf(id).requests, 0)),
    freeMemoryTokens: sumOf((id) =>
      Math.max(memoryTokens - loadOf(id).memoryTokens, 0),
    ),
    ends,
    totalSlots: sumOf((_, slots) => slots),
    totalMemoryTokens: memoryTokens * targets.length,
    holdMs: (hold.shortMs + hold.longMs) / 2,
    targets: targets.length,
    prefillBacklogMs: sumOf((id) => loadOf(id).prefillMs),
  };
  return {
    forecast,
    totalMemoryTokens: forecast.totalMemoryTokens,
    freeMemoryTokens: forecast.freeMemoryTokens,
    shortMemoryTokens: flights
      .filter((flight) => flight.isShort && ids.has(flight.targetId))
      .reduce((sum, flight) => sum + flight.memoryTokens, 0),
    // Spares the planning of what cannot have room.
    fits: (request) =>
      request.memoryTokens <= forecast.freeMemoryTokens && fits(request),
    expectedAtMs: (request, ahead) =>
      request.memoryTokens > forecast.totalMemoryTokens
        ? Infinity
        : expectCapacityAtMs(forecast, {
            requests: ahead.requests + 1,
            memoryTokens: ahead.memoryTokens + request.memoryTokens,
          }),
  };
}

function toEnd(
  flight: InFlightRequest,
  view: {
    readonly ids: ReadonlySet<string>;
    readonly hold: HoldTimes;
    readonly nowMs: number;
  },
) {
  const { ids, hold, nowMs } = view;
  const holdMs = flight.isShort ? hold.shortMs : hold.longMs;
  const isHere = ids.has(flight.targetId);
  const reserved = flight.reservations
    .filter(({ targetId }) => ids.has(targetId))
    .reduce((sum, { tokens }) => sum + tokens, 0);
  return {
    isHere,
    endsAtMs: Math.max(
      flight.startedAtMs + holdMs,
      nowMs + holdMs * OVERDUE_SHARE,
    ),
    memoryTokens: reserved + (isHere ? flight.memoryTokens : 0),
  };
}
