import type { EntryAddress, Reservation, Target } from '@endivegate/contracts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import { scoreRendezvous } from '../scoreRendezvous/index.ts';
import type { Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';

/** Interval between two checks of an engine's reservations. */
export const MEMORY_CHECK_PERIOD_MS = 3_000;

/** Maximum age of a list of reservations; an older list is ignored. */
export const MAX_LIST_AGE_MS = 5_000;

/** Time for which dead incarnations are remembered. */
const DEAD_RETENTION_MS = 3_600_000;

/** Number of groups into which the engines of a data centre are divided; one
 * entry watches a whole group. */
const WATCH_SHARDS = 64;

/** State for finding and freeing orphaned KV memory reservations. */
export interface MemoryState {
  readonly self: EntryAddress | undefined;
  readonly live: readonly EntryAddress[];
  /** Time at which each incarnation became known as dead, by
   * `entryId/incarnation`. */
  readonly deadSinceMs: ReadonlyMap<string, number>;
  readonly engines: readonly Target[];
  /** Ids of the engines that this entry watches; undefined until recomputed. */
  readonly watched: readonly string[] | undefined;
  readonly nextCheckAtMs: number;
  /** Time of the last request for an engine's list. */
  readonly askedAtMs: ReadonlyMap<string, number>;
}

/** Result of listing an engine's reservations. */
export type MemoryEvent = EventBase & {
  readonly type: 'memory.listed';
  readonly targetId: string;
  /** Undefined when the engine did not answer. */
  readonly reservations: readonly Reservation[] | undefined;
};

/** Calls to engines. */
export type MemoryEffect =
  /** Lists the reservations of an engine. */
  | { readonly type: 'memory.list'; readonly targetId: string }
  /** Frees a reservation; the call is idempotent. */
  | {
      readonly type: 'memory.free';
      readonly targetId: string;
      readonly reservationId: string;
    };

type MemoryStep = Step<MemoryState, MemoryEffect>;

/**
 * Frees orphaned reservations.
 *
 * Each engine is watched by one live entry of its data centre, selected by
 * rendezvous hashing. The entry frees reservations of incarnations that are dead
 * or were replaced, and reservations past their lifetime. Reservation ids are
 * never reused, so a late or repeated call cannot free another reservation.
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
      return { state: updateMembers(state, event), effects: [] };
    case 'targets.changed':
      return { state: updateEngines(state, event.targets), effects: [] };
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

/** Updates live and dead entries; a new dead one triggers a check at the next tick. */
function updateMembers(
  state: MemoryState,
  event: Extract<SharedEvent, { readonly type: 'members.changed' }>,
): MemoryState {
  const live = [...event.live, ...event.leaving];
  const liveIds = new Set(live.map(incarnationId));
  const stillDead = [...state.deadSinceMs].filter(
    ([id, sinceMs]) =>
      !liveIds.has(id) && event.atMs - sinceMs < DEAD_RETENTION_MS,
  );
  const deadSinceMs = new Map(stillDead);
  const newlyDead = event.dead
    .map(incarnationId)
    .filter((id) => !deadSinceMs.has(id) && !liveIds.has(id));
  newlyDead.forEach((id) => deadSinceMs.set(id, event.atMs));
  return {
    ...state,
    live,
    deadSinceMs,
    watched: undefined,
    nextCheckAtMs: newlyDead.length > 0 ? event.atMs : state.nextCheckAtMs,
  };
}

function updateEngines(
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

/** Returns the engines whose group this entry has the highest score for. */
function findWatched(state: MemoryState): readonly string[] {
  const { self } = state;
  if (self === undefined) return [];
  const watcherByShard = new Map<string, string | undefined>();
  return state.engines
    .filter((engine) => {
      const shard = shardOf(engine);
      if (!watcherByShard.has(shard)) {
        watcherByShard.set(
          shard,
          watcherOf(shard, candidateWatchersOf(state, engine)),
        );
      }
      return watcherByShard.get(shard) === self.entryId;
    })
    .map((engine) => engine.targetId);
}

/** Returns the live entries of the engine's data centre, or all live entries if
 * there are none. */
function candidateWatchersOf(
  state: MemoryState,
  engine: Target,
): readonly EntryAddress[] {
  const local = state.live.filter((e) => e.dataCentre === engine.dataCentre);
  return local.length > 0 ? local : state.live;
}

function watcherOf(
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
