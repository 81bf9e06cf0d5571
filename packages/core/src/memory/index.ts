import type { EntryAddress, Reservation, Target } from '@endivegate/contracts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import { scoreRendezvous } from '../scoreRendezvous/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';

/** Time between two looks at an engine's reservations. */
export const MEMORY_CHECK_PERIOD_MS = 3_000;

/** Age from which a list of reservations is too old to act on. */
export const MAX_LIST_AGE_MS = 5_000;

/** Time for which a death is remembered. */
const DEATH_MEMORY_MS = 3_600_000;

/** Groups of engines of a data centre that share a watching entry. */
const WATCH_SHARDS = 64;

/** State of the watch over the engines' reservations. */
export interface MemoryState {
  readonly self: EntryAddress | undefined;
  readonly live: readonly EntryAddress[];
  /** When each dead incarnation became known, by `entryId/incarnation`. */
  readonly deadSinceMs: ReadonlyMap<string, number>;
  readonly engines: readonly Target[];
  /** Engines that this entry watches; undefined until worked out anew. */
  readonly watched: readonly string[] | undefined;
  readonly nextCheckAtMs: number;
  /** When the open list of an engine was asked for. */
  readonly askedAtMs: ReadonlyMap<string, number>;
}

/** An engine listed its reservations. */
export type MemoryEvent = EventBase & {
  readonly type: 'memory.listed';
  readonly targetId: string;
  /** Undefined when the engine did not answer. */
  readonly reservations: readonly Reservation[] | undefined;
};

/** Calls to engines about reservations. */
export type MemoryEffect =
  | { readonly type: 'memory.list'; readonly targetId: string }
  /** Free a reservation; freeing it again is harmless. */
  | {
      readonly type: 'memory.free';
      readonly targetId: string;
      readonly reservationId: string;
    };

type MemoryStep = Step<MemoryState, MemoryEffect>;

/**
 * Frees reservations that nobody will use any more.
 *
 * Each engine is watched by one live entry of its data centre, picked by
 * rendezvous. It frees what belongs to an incarnation that is known dead or
 * was replaced, and what is past its lifetime. Ids are never used twice, so a
 * late or repeated free cannot hit another's reservation.
 */
export const memorySlice: Slice<MemoryState, MemoryEvent, MemoryEffect> = {
  initial: {
    self: undefined,
    live: [],
    deadSinceMs: new Map(),
    engines: [],
    watched: undefined,
    nextCheckAtMs: 0,
    askedAtMs: new Map(),
  },
  reduce: reduceMemory,
};

function reduceMemory(
  state: MemoryState,
  event: MemoryEvent | SharedEvent,
): MemoryStep {
  switch (event.type) {
    case 'entry.started':
      return {
        state: { ...state, self: event.self, watched: undefined },
        effects: [],
      };
    case 'members.changed':
      return { state: noteMembers(state, event), effects: [] };
    case 'targets.changed':
      return { state: noteEngines(state, event.targets), effects: [] };
    case 'clock.ticked':
      return event.atMs < state.nextCheckAtMs
        ? unchanged(state)
        : listWatched(state, event);
    case 'memory.listed':
      return freeOrphans(state, event);
    default:
      return unchanged(state);
  }
}

/** Notes deaths; a new one brings the next check forward. */
function noteMembers(
  state: MemoryState,
  event: Extract<SharedEvent, { readonly type: 'members.changed' }>,
): MemoryState {
  const live = [...event.live, ...event.leaving];
  const liveIds = new Set(live.map(incarnationId));
  const remembered = [...state.deadSinceMs].filter(
    ([id, sinceMs]) =>
      !liveIds.has(id) && event.atMs - sinceMs < DEATH_MEMORY_MS,
  );
  const deadSinceMs = new Map(remembered);
  const fresh = event.dead
    .map(incarnationId)
    .filter((id) => !deadSinceMs.has(id) && !liveIds.has(id));
  fresh.forEach((id) => deadSinceMs.set(id, event.atMs));
  return {
    ...state,
    live,
    deadSinceMs,
    watched: undefined,
    nextCheckAtMs: fresh.length > 0 ? event.atMs : state.nextCheckAtMs,
  };
}

function noteEngines(
  state: MemoryState,
  targets: readonly Target[],
): MemoryState {
  const engines = targets.filter((t) => t.targetKind === 'engine');
  return { ...state, engines, watched: undefined };
}

function listWatched(state: MemoryState, event: EventBase): MemoryStep {
  const watched = state.watched ?? findWatched(state);
  return {
    state: {
      ...state,
      watched,
      askedAtMs: new Map(watched.map((id) => [id, event.atMs])),
      nextCheckAtMs: event.atMs + MEMORY_CHECK_PERIOD_MS,
    },
    effects: watched.map((targetId) => ({ type: 'memory.list', targetId })),
  };
}

function freeOrphans(state: MemoryState, event: MemoryEvent): MemoryStep {
  const askedAtMs = state.askedAtMs.get(event.targetId);
  const isStale =
    askedAtMs === undefined || event.atMs - askedAtMs > MAX_LIST_AGE_MS;
  if (isStale || event.reservations === undefined) return unchanged(state);
  const { targetId } = event;
  return {
    state,
    effects: event.reservations
      .filter((reservation) => isOrphan(state, reservation))
      .map(({ reservationId }) => ({
        type: 'memory.free',
        targetId,
        reservationId,
      })),
  };
}

function isOrphan(state: MemoryState, reservation: Reservation): boolean {
  if (reservation.ageMs > reservation.lifetimeMs) return true;
  const [entryId = '', incarnation = ''] = reservation.reservationId.split('/');
  if (state.deadSinceMs.has(`${entryId}/${incarnation}`)) return true;
  return state.live.some(
    (entry) =>
      entry.entryId === entryId && entry.incarnation > Number(incarnation),
  );
}

/** Engines whose group this entry has the highest score for. */
function findWatched(state: MemoryState): readonly string[] {
  const { self } = state;
  if (self === undefined) return [];
  const owners = new Map<string, string | undefined>();
  return state.engines
    .filter((engine) => {
      const shard = shardOf(engine);
      if (!owners.has(shard)) {
        owners.set(shard, ownerOf(shard, watchersOf(state, engine)));
      }
      return owners.get(shard) === self.entryId;
    })
    .map((engine) => engine.targetId);
}

/** Live entries of the engine's data centre, or all when it has none. */
function watchersOf(
  state: MemoryState,
  engine: Target,
): readonly EntryAddress[] {
  const near = state.live.filter((e) => e.dataCentre === engine.dataCentre);
  return near.length > 0 ? near : state.live;
}

function ownerOf(
  shard: string,
  entries: readonly EntryAddress[],
): string | undefined {
  const scored = entries.map(({ entryId }) => ({
    entryId,
    score: scoreRendezvous(shard, entryId),
  }));
  return scored.toSorted((a, b) => b.score - a.score)[0]?.entryId;
}

function shardOf(engine: Target): string {
  const sum = Array.from(engine.targetId).reduce(
    (hash, character) => (hash * 31 + character.charCodeAt(0)) % 65_521,
    7,
  );
  return `memory/${engine.dataCentre}/${sum % WATCH_SHARDS}`;
}

function incarnationId(entry: EntryAddress): string {
  return `${entry.entryId}/${entry.incarnation}`;
}
