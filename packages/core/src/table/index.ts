import type { EntryAddress, TableDocument } from '@endivegate/contracts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import { pickTableSources } from '../pickTableSources/index.ts';
import { pickTableWatchers } from '../pickTableWatchers/index.ts';
import { retryDelay } from '../retryDelay/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';

/** Time between two looks at the store that nothing prompted, plus jitter. */
export const TABLE_REFRESH_MS = 60_000;

/** Time after the start within which the first watch is placed. */
export const TABLE_FIRST_WATCH_MS = 3_000;

/** Longest delay before a failed load or watch is tried again. */
export const TABLE_RETRY_MAX_MS = 10_000;

/** A call that is repeated with back-off. */
interface PacedCall {
  readonly inFlight: boolean;
  readonly failures: number;
  readonly nextAtMs: number;
}

/** The table in force in this entry, and how newer numbers are learned. */
export interface TableState {
  readonly selfId: string;
  /** Number in force; 0 while the entry has no table. */
  readonly number: number;
  readonly document: TableDocument | undefined;
  readonly workspaceByTokenHash: ReadonlyMap<string, string>;
  /** Highest number heard of. */
  readonly wantedNumber: number;
  readonly numbersByEntry: ReadonlyMap<string, number>;
  readonly live: readonly EntryAddress[];
  readonly isWatcher: boolean;
  readonly load: PacedCall;
  readonly watch: PacedCall;
  readonly refreshAtMs: number;
  /** Whether the manifest changed while a load was under way. */
  readonly changedDuringLoad: boolean;
}

/** Events of the table slice. */
export type TableEvent = EventBase &
  (
    | {
        /** A peer told the number it has in force. */
        readonly type: 'table.numberSeen';
        readonly number: number;
        readonly fromEntryId: string;
      }
    | {
        /** A whole table was read from the store or a peer. */
        readonly type: 'table.loaded';
        readonly number: number;
        readonly document: TableDocument;
      }
    /** The head was read, and it names no newer number. */
    | { readonly type: 'table.loadedNothingNew'; readonly number: number }
    | { readonly type: 'table.loadFailed' }
    | {
        readonly type: 'table.watchEnded';
        readonly outcome: 'changed' | 'idle' | 'failed';
      }
  );

/** Effects of the table slice. */
export type TableEffect =
  | {
      /** Read the table from the sources in turn. */
      readonly type: 'table.load';
      readonly currentNumber: number;
      readonly wantedNumber: number;
      readonly peerIds: readonly string[];
      /** Whether the store is asked before the peers. */
      readonly storeFirst: boolean;
    }
  /** Wait at the store for a change of the manifest. */
  | { readonly type: 'table.watch' }
  /** Tell the peers the number in force. */
  | { readonly type: 'table.announce'; readonly number: number };

type TableStep = Step<TableState, TableEffect | RaiseEffect>;

const IDLE: PacedCall = { inFlight: false, failures: 0, nextAtMs: 0 };

const initial: TableState = {
  selfId: '',
  number: 0,
  document: undefined,
  workspaceByTokenHash: new Map(),
  wantedNumber: 0,
  numbersByEntry: new Map(),
  live: [],
  isWatcher: false,
  load: IDLE,
  watch: IDLE,
  refreshAtMs: 0,
  changedDuringLoad: false,
};

/**
 * Keeps the operators' table and brings newer numbers into force.
 *
 * A number is installed whole or not at all, and never a lower one than the
 * number in force.
 */
export const tableSlice: Slice<TableState, TableEvent, TableEffect> = {
  initial,
  reduce: (state, event) => {
    switch (event.type) {
      case 'entry.started':
        return start(state, event);
      case 'clock.ticked':
        return tick(state, event);
      case 'members.changed':
        return updateMembers(state, event.live);
      case 'table.numberSeen':
        return seeNumber(state, event);
      case 'table.loaded':
        return finishLoad(install(state, event), event);
      case 'table.loadedNothingNew':
        return finishLoad(unchanged(state), event);
      case 'table.loadFailed':
        return finishLoad(unchanged(state), event);
      case 'table.watchEnded':
        return finishWatch(state, event);
      default:
        return unchanged(state);
    }
  },
};

function start(
  state: TableState,
  event: EventBase & { readonly self: EntryAddress },
): TableStep {
  const firstWatchAtMs = event.atMs + event.random * TABLE_FIRST_WATCH_MS;
  return startLoad(
    {
      ...state,
      selfId: event.self.entryId,
      live: [event.self],
      isWatcher: true,
      watch: { ...IDLE, nextAtMs: firstWatchAtMs },
    },
    event,
  );
}

function tick(state: TableState, event: EventBase): TableStep {
  if (state.selfId === '') return unchanged(state);
  const loaded = isLoadDue(state, event.atMs)
    ? startLoad(state, event)
    : unchanged(state);
  const { watch, isWatcher } = loaded.state;
  if (!isWatcher || watch.inFlight || event.atMs < watch.nextAtMs) {
    return loaded;
  }
  return {
    state: { ...loaded.state, watch: { ...watch, inFlight: true } },
    effects: [...loaded.effects, { type: 'table.watch' }],
  };
}

function isLoadDue(state: TableState, atMs: number): boolean {
  if (state.load.inFlight || atMs < state.load.nextAtMs) return false;
  return isBehind(state) || atMs >= state.refreshAtMs;
}

function isBehind(state: TableState): boolean {
  return state.number === 0 || state.wantedNumber > state.number;
}

function startLoad(state: TableState, event: EventBase): TableStep {
  const peerIds = pickTableSources({
    selfId: state.selfId,
    live: state.live,
    numbersByEntry: state.numbersByEntry,
    number: state.wantedNumber,
    random: event.random,
  });
  return {
    state: { ...state, load: { ...state.load, inFlight: true } },
    effects: [
      {
        type: 'table.load',
        currentNumber: state.number,
        wantedNumber: state.wantedNumber,
        peerIds,
        storeFirst: state.isWatcher || !isBehind(state),
      },
    ],
  };
}

function updateMembers(
  state: TableState,
  live: readonly EntryAddress[],
): TableStep {
  const ids = new Set(live.map(({ entryId }) => entryId));
  const numbers = [...state.numbersByEntry].filter(([id]) => ids.has(id));
  return {
    state: {
      ...state,
      live,
      numbersByEntry: new Map(numbers),
      isWatcher: pickTableWatchers(live).includes(state.selfId),
    },
    effects: [],
  };
}

function seeNumber(
  state: TableState,
  event: EventBase & { readonly number: number; readonly fromEntryId: string },
): TableStep {
  const known = state.numbersByEntry.get(event.fromEntryId) ?? 0;
  if (event.number === known) return unchanged(state);
  const next: TableState = {
    ...state,
    numbersByEntry: new Map(state.numbersByEntry).set(
      event.fromEntryId,
      event.number,
    ),
    wantedNumber: Math.max(state.wantedNumber, event.number),
  };
  const isNews = event.number > state.wantedNumber && isBehind(next);
  if (!isNews || next.load.inFlight) return { state: next, effects: [] };
  return startLoad(next, event);
}

function install(
  state: TableState,
  event: Extract<TableEvent, { type: 'table.loaded' }>,
): TableStep {
  if (event.number <= state.number) return unchanged(state);
  const { rows, workspaces, models } = event.document;
  const installed: SharedEvent = {
    type: 'table.installed',
    atMs: event.atMs,
    random: event.random,
    number: event.number,
    rows,
    models,
  };
  return {
    state: {
      ...state,
      number: event.number,
      document: event.document,
      wantedNumber: Math.max(state.wantedNumber, event.number),
      workspaceByTokenHash: new Map(
        workspaces.flatMap(({ workspace, tokenSha256 }) =>
          tokenSha256.map((hash) => [hash, workspace] as const),
        ),
      ),
    },
    effects: [
      { type: 'raise', event: installed },
      { type: 'table.announce', number: event.number },
    ],
  };
}

function finishLoad(step: TableStep, event: EventBase): TableStep {
  const { state } = step;
  const failures = isBehind(state) ? state.load.failures + 1 : 0;
  const delayMs = retryDelay(failures, event.random, {
    maxMs: TABLE_RETRY_MAX_MS,
  });
  const jitterMs = (TABLE_REFRESH_MS / 2) * event.random;
  return {
    state: {
      ...state,
      load: {
        inFlight: false,
        failures,
        nextAtMs: failures === 0 ? event.atMs : event.atMs + delayMs,
      },
      refreshAtMs: state.changedDuringLoad
        ? event.atMs
        : event.atMs + TABLE_REFRESH_MS + jitterMs,
      changedDuringLoad: false,
    },
    effects: step.effects,
  };
}

function finishWatch(
  state: TableState,
  event: Extract<TableEvent, { type: 'table.watchEnded' }>,
): TableStep {
  const failures = event.outcome === 'failed' ? state.watch.failures + 1 : 0;
  const delayMs =
    failures === 0
      ? 0
      : retryDelay(failures, event.random, { maxMs: TABLE_RETRY_MAX_MS });
  const next: TableState = {
    ...state,
    watch: { inFlight: false, failures, nextAtMs: event.atMs + delayMs },
  };
  if (event.outcome !== 'changed') return { state: next, effects: [] };
  if (next.load.inFlight) {
    return { state: { ...next, changedDuringLoad: true }, effects: [] };
  }
  return startLoad(next, event);
}
