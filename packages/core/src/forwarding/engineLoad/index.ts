import type { Step } from '../../step/index.ts';
import { peerTimes } from '../peerTimes/index.ts';

/** A request that this entry has at a target. */
export interface InFlightRequest {
  readonly flightId: string;
  readonly targetId: string;
  /** Targets that read parts of its prompt besides `targetId`. */
  readonly helperIds: readonly string[];
  /** Expected reading time of each part. */
  readonly partReadMs: number;
  /** Tokens that it occupies at `targetId`. */
  readonly memoryTokens: number;
  /** Tokens that it occupies at others; they keep them until it ends. */
  readonly seats: readonly {
    readonly targetId: string;
    readonly tokens: number;
  }[];
  readonly contextTokens: number;
  /** What its being on time is worth; see `valueOfPrompt`. */
  readonly value: number;
  /** Whether one engine reads it at once; see `isShortPrompt`. */
  readonly isShort: boolean;
  /** Longest pause between its events that is on time; 0 for plain calls. */
  readonly gapTargetMs: number;
  readonly startedAtMs: number;
  /** Whether its first token has come. */
  readonly isDecoding: boolean;
}

/** What one entry, or all of them, have at a target. */
export interface TargetLoad {
  /** Requests that hold or wait for a slot. */
  readonly requests: number;
  /** Those of them that are short prompts. */
  readonly shorts: number;
  /** Reading still to be done. */
  readonly prefillMs: number;
  /** Value of the engine's own prompts that are not read yet. */
  readonly readersValue: number;
  readonly decodingRequests: number;
  readonly writersValue: number;
  readonly contextTokens: number;
  readonly memoryTokens: number;
  /** Smallest gap target of the requests there; Infinity without any. */
  readonly gapTargetMs: number;
}

/** Load of targets by id. */
export type LoadByTarget = ReadonlyMap<string, TargetLoad>;

/** What a peer last told. */
export interface PeerLoad {
  readonly atMs: number;
  readonly flights: readonly InFlightRequest[];
}

/** Own requests and what peers told of theirs. */
export interface LoadState {
  readonly flights: ReadonlyMap<string, InFlightRequest>;
  readonly peers: ReadonlyMap<string, PeerLoad>;
}

/** Events of the load; times are of the monotonic clock. */
export type LoadEvent =
  | { readonly type: 'load.started'; readonly flight: InFlightRequest }
  | {
      readonly type: 'load.firstToken';
      readonly flightId: string;
    }
  /** It is late: less is lost when it is delayed further. */
  | { readonly type: 'load.late'; readonly flightId: string }
  | { readonly type: 'load.ended'; readonly flightId: string }
  | {
      readonly type: 'load.heard';
      readonly peer: string;
      readonly atMs: number;
      /** All that it has; times are of the receiver's clock. */
      readonly flights: readonly InFlightRequest[];
    }
  /** Time has passed: peers that are gone are forgotten. */
  | { readonly type: 'load.ticked'; readonly atMs: number };

/** Part of its value that a late request keeps. */
export const LATE_VALUE_FACTOR = 0.25;

/** A peer unheard for this long is forgotten. */
const FORGET_PEER_MS = 20_000;

/** Load of a target that has nothing to do. */
export const NO_LOAD: TargetLoad = {
  requests: 0,
  shorts: 0,
  prefillMs: 0,
  readersValue: 0,
  decodingRequests: 0,
  writersValue: 0,
  contextTokens: 0,
  memoryTokens: 0,
  gapTargetMs: Infinity,
};

/** A first event comes this long after its prompt is read: two passes. */
const USUAL_OVERDUE_MS = 150;

/** An engine that is overdue is taken to need as long again, up to this. */
const MOST_OVERDUE_MS = 1500;

/** Load before the first request. */
export const initialLoad: LoadState = { flights: new Map(), peers: new Map() };

/**
 * Keeps what this entry and its peers have at each target.
 *
 * @param state - The load.
 * @param event - What happened.
 * @returns The next load; there are no effects.
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
 * Sums the load of all entries by target.
 *
 * Reading is taken to be done in the order in which parts were sent, so all
 * entries that know the same requests predict the same.
 *
 * @param state - The load.
 * @param nowMs - Monotonic time.
 * @returns Targets with at least one request or part.
 *
 * @example
 * allLoads(state, performance.now()).get('engine-1') ?? NO_LOAD;
 */
export function allLoads(state: LoadState, nowMs: number): LoadByTarget {
  const { loadLifetimeMs } = peerTimes(state.peers.size + 1);
  const heard = [...state.peers.values()]
    .filter((peer) => nowMs - peer.atMs < loadLifetimeMs)
    .flatMap((peer) => peer.flights);
  return loadsOf([...state.flights.values(), ...heard], nowMs);
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
    case 'load.ended': {
      const flights = new Map(state.flights);
      flights.delete(event.flightId);
      return { ...state, flights };
    }
    case 'load.heard':
      return {
        ...state,
        peers: new Map(state.peers).set(event.peer, {
          atMs: event.atMs,
          flights: event.flights,
        }),
      };
    case 'load.ticked':
      return forgetPeers(state, event.atMs);
  }
}

function forgetPeers(state: LoadState, atMs: number): LoadState {
  const kept = [...state.peers].filter(
    ([, peer]) => atMs - peer.atMs < FORGET_PEER_MS,
  );
  return kept.length === state.peers.size
    ? state
    : { ...state, peers: new Map(kept) };
}

function loadsOf(
  flights: readonly InFlightRequest[],
  nowMs: number,
): LoadByTarget {
  const loads = new Map<string, TargetLoad>();
  const add = (targetId: string, load: Partial<TargetLoad>): void => {
    loads.set(targetId, addLoads(loads.get(targetId) ?? NO_LOAD, load));
  };
  const readEndsAtMs = new Map<string, number>();
  /** How late an engine's own prompts are: it has more to do than is known. */
  const overdueAt = (targetId: string, endsAtMs: number): number => {
    const reads = loads.get(targetId)?.readersValue ?? 0;
    return reads > 0 ? Math.max(nowMs - endsAtMs - USUAL_OVERDUE_MS, 0) : 0;
  };
  const queue = (targetId: string, flight: InFlightRequest): void => {
    const freeAtMs = readEndsAtMs.get(targetId) ?? -Infinity;
    const beginsAtMs = Math.max(freeAtMs, flight.startedAtMs);
    readEndsAtMs.set(targetId, beginsAtMs + flight.partReadMs);
  };
  flights
    .toSorted((a, b) => a.startedAtMs - b.startedAtMs)
    .forEach((flight) => {
      add(flight.targetId, loadOfFlight(flight));
      flight.seats.forEach(({ targetId, tokens }) => {
        add(targetId, { contextTokens: tokens, memoryTokens: tokens });
      });
      if (flight.isDecoding) return;
      queue(flight.targetId, flight);
      flight.helperIds.forEach((helperId) => {
        queue(helperId, flight);
      });
    });
  readEndsAtMs.forEach((endsAtMs, targetId) => {
    const overdueMs = Math.min(overdueAt(targetId, endsAtMs), MOST_OVERDUE_MS);
    add(targetId, { prefillMs: Math.max(endsAtMs - nowMs, 0) + overdueMs });
  });
  return loads;
}

function loadOfFlight(flight: InFlightRequest): Partial<TargetLoad> {
  return {
    requests: 1,
    shorts: flight.isShort ? 1 : 0,
    readersValue: flight.isDecoding ? 0 : flight.value,
    decodingRequests: flight.isDecoding ? 1 : 0,
    writersValue: flight.isDecoding ? flight.value : 0,
    contextTokens: flight.contextTokens,
    memoryTokens: flight.memoryTokens,
    gapTargetMs: flight.gapTargetMs > 0 ? flight.gapTargetMs : Infinity,
  };
}

function addLoads(a: TargetLoad, b: Partial<TargetLoad>): TargetLoad {
  return {
    requests: a.requests + (b.requests ?? 0),
    shorts: a.shorts + (b.shorts ?? 0),
    prefillMs: a.prefillMs + (b.prefillMs ?? 0),
    readersValue: a.readersValue + (b.readersValue ?? 0),
    decodingRequests: a.decodingRequests + (b.decodingRequests ?? 0),
    writersValue: a.writersValue + (b.writersValue ?? 0),
    contextTokens: a.contextTokens + (b.contextTokens ?? 0),
    memoryTokens: a.memoryTokens + (b.memoryTokens ?? 0),
    gapTargetMs: Math.min(a.gapTargetMs, b.gapTargetMs ?? Infinity),
  };
}
