import type { Step } from '../../step/index.ts';
import { peerTimes } from '../peerTimes/index.ts';

/** A request that an entry has in flight at a target. */
export interface InFlightRequest {
  readonly flightId: string;
  readonly targetId: string;
  /** Targets other than `targetId` that prefill parts of its prompt. */
  readonly helperIds: readonly string[];
  /** Expected prefill time of each part. */
  readonly partPrefillMs: number;
  /** Tokens that it occupies at `targetId`. */
  readonly memoryTokens: number;
  /** Tokens that it occupies at other targets until it ends. */
  readonly reservations: readonly {
    readonly targetId: string;
    readonly tokens: number;
  }[];
  readonly contextTokens: number;
  /** Value of serving it on time; see `valueOfPrompt`. */
  readonly value: number;
  /** Whether its prompt belongs in the short lane; see `planPrompt`. */
  readonly isShort: boolean;
  /** Longest gap between its events that is on time; 0 for calls without a
   * stream. */
  readonly gapTargetMs: number;
  readonly startedAtMs: number;
  /** Whether its first token has arrived. */
  readonly isDecoding: boolean;
  /** Set once the request has ended while other targets than its own still read parts
   * of its prompt. `targetId` is then the first of these targets. */
  readonly isAbandoned?: true;
}

/** Load of a target from one or more entries. */
export interface TargetLoad {
  /** Requests that hold or wait for a slot. */
  readonly requests: number;
  /** Those of them that are short prompts. */
  readonly shortRequests: number;
  /** Prefill work that remains. */
  readonly prefillMs: number;
  /** Value of the requests sent to this target whose prefill has not ended. */
  readonly prefillingValue: number;
  /** Requests of which it has to read a part, its own included. */
  readonly waiting: readonly InFlightRequest[];
  /** Number of requests that are decoding. */
  readonly decodingRequests: number;
  /** Value of the requests that are decoding. */
  readonly decodingValue: number;
  readonly contextTokens: number;
  readonly memoryTokens: number;
  /** Smallest gap target of its requests; Infinity when there are none. */
  readonly gapTargetMs: number;
}

/** Load by target id. */
export type LoadByTarget = ReadonlyMap<string, TargetLoad>;

/** The requests that a peer reports. */
export interface LoadReport {
  readonly peer: string;
  /** All requests of the peer; times are from the receiver's clock. */
  readonly flights: readonly InFlightRequest[];
}

/** The last report of a peer. */
export interface PeerLoad {
  readonly atMs: number;
  readonly flights: readonly InFlightRequest[];
}

/** Requests of this entry and those that peers reported. */
export interface LoadState {
  readonly flights: ReadonlyMap<string, InFlightRequest>;
  readonly peers: ReadonlyMap<string, PeerLoad>;
}

/** Events of the load; times are from the monotonic clock. */
export type LoadEvent =
  | { readonly type: 'load.started'; readonly flight: InFlightRequest }
  | {
      readonly type: 'load.firstToken';
      readonly flightId: string;
    }
  /** The request is late, so a further delay costs less. */
  | { readonly type: 'load.late'; readonly flightId: string }
  | {
      readonly type: 'load.ended';
      readonly flightId: string;
      /** Whether its helpers go on reading parts that were sent to them. */
      readonly leavesParts: boolean;
    }
  | {
      readonly type: 'load.received';
      readonly atMs: number;
      readonly reports: readonly LoadReport[];
    }
  /** Time has passed; silent peers are removed. */
  | { readonly type: 'load.ticked'; readonly atMs: number };

/** Fraction of its value that a late request keeps. */
export const LATE_VALUE_FACTOR = 0.25;

/** A peer that was silent for this long is removed. */
const PEER_EXPIRY_MS = 20_000;

/** Load of an idle target. */
export const NO_LOAD: TargetLoad = {
  requests: 0,
  shortRequests: 0,
  prefillMs: 0,
  prefillingValue: 0,
  waiting: [],
  decodingRequests: 0,
  decodingValue: 0,
  contextTokens: 0,
  memoryTokens: 0,
  gapTargetMs: Infinity,
};

/** Usual time from the end of prefill to the first event: two passes. */
const FIRST_EVENT_DELAY_MS = 150;

/** An overdue engine is assumed to need as long again as it is overdue, up to
 * this time. */
const MAX_OVERDUE_MS = 1500;

/** Load before the first request. */
export const initialLoad: LoadState = { flights: new Map(), peers: new Map() };

/**
 * Tracks the requests that this entry and its peers have in flight.
 *
 * @param state - Current load.
 * @param event - The event to apply.
 * @returns The new load, without effects.
 *
 * @example
 * reduceLoad(initialLoad, { type: 'load.started', flight });
 */
export function reduceLoad(
  state: LoadState,
  event: LoadEvent,
): Step<LoadState, never> {
  return { state: nextLoad(state, event), effects: [] };
}

/**
 * Computes the load of each target from the requests of all entries.
 *
 * Parts are assumed to be prefilled in the order in which they were sent, so
 * entries that know the same requests make the same predictions.
 *
 * @param state - Current load.
 * @param nowMs - Current monotonic time.
 * @returns The load of each target with at least one request or part.
 *
 * @example
 * allLoads(state, performance.now()).get('engine-1') ?? NO_LOAD;
 */
export function allLoads(state: LoadState, nowMs: number): LoadByTarget {
  return sumLoads(allFlights(state, nowMs), nowMs);
}

/**
 * Lists the requests that this entry and its peers have in flight.
 *
 * @param state - Current load.
 * @param nowMs - Current monotonic time.
 * @returns The requests, without those of peers that have gone silent.
 */
export function allFlights(
  state: LoadState,
  nowMs: number,
): readonly InFlightRequest[] {
  const { loadLifetimeMs } = peerTimes(state.peers.size + 1);
  const heard = [...state.peers.values()]
    .filter((peer) => nowMs - peer.atMs < loadLifetimeMs)
    .flatMap((peer) => peer.flights);
  return [...state.flights.values(), ...heard];
}

function nextLoad(state: LoadState, event: LoadEvent): LoadState {
  switch (event.type) {
    case 'load.started':
      return {
        ...state,
        flights: new Map(state.flights).set(
          event.flight.flightId,
          event.flight,
        ),
      };
    case 'load.firstToken': {
      const flight = state.flights.get(event.flightId);
      if (flight === undefined) return state;
      const writing = { ...flight, isDecoding: true };
      return {
        ...state,
        flights: new Map(state.flights).set(event.flightId, writing),
      };
    }
    case 'load.late': {
      const flight = state.flights.get(event.flightId);
      if (flight === undefined) return state;
      const late = { ...flight, value: flight.value * LATE_VALUE_FACTOR };
      return {
        ...state,
        flights: new Map(state.flights).set(event.flightId, late),
      };
    }
    case 'load.ended':
      return endFlight(state, event);
    case 'load.received': {
      const peers = new Map(state.peers);
      event.reports.forEach(({ peer, flights }) => {
        peers.set(peer, { atMs: event.atMs, flights });
      });
      return { ...state, peers };
    }
    case 'load.ticked':
      return expirePeers(withoutReadParts(state, event.atMs), event.atMs);
  }
}

/**
 * Removes a request that has ended. Engines drop a request whose connection closes, but
 * its helpers read their parts to the end, ahead of the prompts of other requests.
 */
function endFlight(
  state: LoadState,
  event: Extract<LoadEvent, { type: 'load.ended' }>,
): LoadState {
  const flight = state.flights.get(event.flightId);
  const flights = new Map(state.flights);
  flights.delete(event.flightId);
  const parts =
    flight !== undefined && event.leavesParts
      ? abandonedParts(flight)
      : undefined;
  if (parts !== undefined) flights.set(event.flightId, parts);
  return { ...state, flights };
}

/** Returns what the helpers of a request go on reading; undefined if that is nothing. */
function abandonedParts(flight: InFlightRequest): InFlightRequest | undefined {
  const [targetId, ...helperIds] = flight.helperIds;
  if (flight.isDecoding || targetId === undefined) return undefined;
  return {
    ...flight,
    targetId,
    helperIds,
    memoryTokens: 0,
    contextTokens: 0,
    reservations: [],
    value: 0,
    gapTargetMs: 0,
    isAbandoned: true,
  };
}

/** Removes the abandoned parts that all their targets have read. */
function withoutReadParts(state: LoadState, atMs: number): LoadState {
  const isAnyAbandoned = [...state.flights.values()].some(
    (flight) => flight.isAbandoned === true,
  );
  if (!isAnyAbandoned) return state;
  const endsAtMs = prefillEndsAtMs(allFlights(state, atMs));
  const kept = [...state.flights].filter(
    ([, flight]) =>
      flight.isAbandoned !== true ||
      [flight.targetId, ...flight.helperIds].some(
        (id) => (endsAtMs.get(id) ?? 0) > atMs,
      ),
  );
  return { ...state, flights: new Map(kept) };
}

function expirePeers(state: LoadState, atMs: number): LoadState {
  const kept = [...state.peers].filter(
    ([, peer]) => atMs - peer.atMs < PEER_EXPIRY_MS,
  );
  return kept.length === state.peers.size
    ? state
    : { ...state, peers: new Map(kept) };
}

function sumLoads(
  flights: readonly InFlightRequest[],
  nowMs: number,
): LoadByTarget {
  const loads = new Map<string, TargetLoad>();
  const add = (targetId: string, load: Partial<TargetLoad>): void => {
    loads.set(targetId, addLoads(loads.get(targetId) ?? NO_LOAD, load));
  };
  /** Time by which the first events of an engine's requests are overdue, which
   * shows that it has more work than this entry knows of. */
  const overdueMsAt = (targetId: string, endsAtMs: number): number => {
    const prefillingValue = loads.get(targetId)?.prefillingValue ?? 0;
    return prefillingValue > 0
      ? Math.max(nowMs - endsAtMs - FIRST_EVENT_DELAY_MS, 0)
      : 0;
  };
  flights.forEach((flight) => {
    add(flight.targetId, loadOfFlight(flight));
    if (!flight.isDecoding) {
      [flight.targetId, ...flight.helperIds].forEach((id) => {
        add(id, { waiting: [flight] });
      });
    }
    flight.reservations.forEach(({ targetId, tokens }) => {
      add(targetId, { contextTokens: tokens, memoryTokens: tokens });
    });
  });
  prefillEndsAtMs(flights).forEach((endsAtMs, targetId) => {
    const overdueMs = Math.min(overdueMsAt(targetId, endsAtMs), MAX_OVERDUE_MS);
    add(targetId, { prefillMs: Math.max(endsAtMs - nowMs, 0) + overdueMs });
  });
  return loads;
}

/** Time at which each target has read all its parts, in whatever order. */
function prefillEndsAtMs(
  flights: readonly InFlightRequest[],
): ReadonlyMap<string, number> {
  const ends = new Map<string, number>();
  flights
    .filter((flight) => !flight.isDecoding)
    .toSorted((a, b) => a.startedAtMs - b.startedAtMs)
    .forEach(({ targetId, helperIds, startedAtMs, partPrefillMs }) => {
      [targetId, ...helperIds].forEach((id) => {
        const beginsAtMs = Math.max(ends.get(id) ?? -Infinity, startedAtMs);
        ends.set(id, beginsAtMs + partPrefillMs);
      });
    });
  return ends;
}

function loadOfFlight(flight: InFlightRequest): Partial<TargetLoad> {
  if (flight.isAbandoned === true) return {};
  return {
    requests: 1,
    shortRequests: flight.isShort ? 1 : 0,
    prefillingValue: flight.isDecoding ? 0 : flight.value,
    decodingRequests: flight.isDecoding ? 1 : 0,
    decodingValue: flight.isDecoding ? flight.value : 0,
    contextTokens: flight.contextTokens,
    memoryTokens: flight.memoryTokens,
    gapTargetMs: flight.gapTargetMs > 0 ? flight.gapTargetMs : Infinity,
  };
}

function addLoads(a: TargetLoad, b: Partial<TargetLoad>): TargetLoad {
  return {
    requests: a.requests + (b.requests ?? 0),
    shortRequests: a.shortRequests + (b.shortRequests ?? 0),
    prefillMs: a.prefillMs + (b.prefillMs ?? 0),
    prefillingValue: a.prefillingValue + (b.prefillingValue ?? 0),
    waiting: b.waiting === undefined ? a.waiting : [...a.waiting, ...b.waiting],
    decodingRequests: a.decodingRequests + (b.decodingRequests ?? 0),
    decodingValue: a.decodingValue + (b.decodingValue ?? 0),
    contextTokens: a.contextTokens + (b.contextTokens ?? 0),
    memoryTokens: a.memoryTokens + (b.memoryTokens ?? 0),
    gapTargetMs: Math.min(a.gapTargetMs, b.gapTargetMs ?? Infinity),
  };
}
