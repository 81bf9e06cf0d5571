import type { EntryAddress, TableDocument } from '@endivegate/contracts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import { pickTableSources } from '../pickTableSources/index.ts';
import { pickTableWatchers } from '../pickTableWatchers/index.ts';
import { retryDelay } from '../retryDelay/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';

/**
 * Minimum interval between unprompted reads from the store; jitter of up to
 * half the interval is added.
 */
export const TABLE_REFRESH_INTERVAL_MS = 60_000;

/** Upper bound of the random delay from the entry's start to its first watch. */
export const TABLE_FIRST_WATCH_MAX_DELAY_MS = 3_000;

/** Upper bound of the backoff delay before a failed load or watch is retried. */
export const TABLE_RETRY_MAX_DELAY_MS = 10_000;

/** State of a call that is retried with backoff. */
interface RetryState {
  readonly inFlight: boolean;
  readonly failures: number;
  readonly nextAtMs: number;
}

/** The table installed in this entry, and the state of its loads and watch. */
export interface TableState {
  readonly selfId: string;
  /** Version number of the installed table; 0 while none is installed. */
  readonly number: number;
  readonly document: TableDocument | undefined;
  readonly workspaceByTokenHash: ReadonlyMap<string, string>;
  /** Highest version number that was loaded or reported. */
  readonly highestKnownNumber: number;
  /** Version number by entry, as last reported. */
  readonly numbersByEntry: ReadonlyMap<string, number>;
  readonly live: readonly EntryAddress[];
  /** Whether this entry watches the manifest in the store. */
  readonly isWatcher: boolean;
  readonly load: RetryState;
  readonly watch: RetryState;
  readonly refreshAtMs: number;
  /** Whether the manifest changed while a load was in flight. */
  readonly changedDuringLoad: boolean;
}

/** Events of the table slice. */
export type TableEvent = EventBase &
  (
    | {
        /** A peer, or an edit accepted here, reported a version number. */
        readonly type: 'table.numberReported';
        readonly number: number;
        readonly fromEntryId: string;
      }
    | {
        /** A complete table was read from the store or a peer. */
        readonly type: 'table.loaded';
        readonly number: number;
        readonly document: TableDocument;
      }
    /** A source was read; it has no version newer than the installed one. */
    | { readonly type: 'table.unchanged'; readonly number: number }
    | { readonly type: 'table.loadFailed' }
    | {
        readonly type: 'table.watchEnded';
        readonly outcome: 'changed' | 'idle' | 'failed';
      }
  );

/** Effects of the table slice. */
export type TableEffect =
  | {
      /** Read the table from the first source that has a newer version. */
      readonly type: 'table.load';
      readonly currentNumber: number;
      readonly wantedNumber: number;
      readonly peerIds: readonly string[];
      /** Whether the store is queried before the peers. */
      readonly storeFirst: boolean;
    }
  /** Wait for the manifest in the store to change. */
  | { readonly type: 'table.watch' }
  /** Report the version number of the installed table to the peers. */
  | { readonly type: 'table.announce'; readonly number: number };

type TableStep = Step<TableState, TableEffect | RaiseEffect>;

const IDLE_CALL: RetryState = { inFlight: false, failures: 0, nextAtMs: 0 };

const initial: TableState = {
  selfId: '',
  number: 0,
  document: undefined,
  workspaceByTokenHash: new Map(),
  highestKnownNumber: 0,
  numbersByEntry: new Map(),
  live: [],
  isWatcher: false,
  load: IDLE_CALL,
  watch: IDLE_CALL,
  refreshAtMs: 0,
  changedDuringLoad: false,
};

/**
 * Holds the operators' table and installs newer versions of it.
 *
 * A version is installed completely or not at all, and the installed version
 * number never decreases.
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
      case 'table.numberReported':
        return recordPeerNumber(state, event);
      case 'table.loaded':
        return finishLoad(install(state, event), event);
      case 'table.unchanged':
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
  const firstWatchAtMs =
    event.atMs + event.random * TABLE_FIRST_WATCH_MAX_DELAY_MS;
  return startLoad(
    {
      ...state,
      selfId: event.self.entryId,
      live: [event.self],
      isWatcher: true,
      watch: { ...IDLE_CALL, nextAtMs: firstWatchAtMs },
    },
    event,
  );
}

function tick(state: TableState, event: EventBase): TableStep {
  if (state.selfId === '') return unchanged(state);
  const loadStep = isLoadDue(state, event.atMs)
    ? startLoad(state, event)
    : unchanged(state);
  const { watch, isWatcher } = loadStep.state;
  if (!isWatcher || watch.inFlight || event.atMs < watch.nextAtMs) {
    return loadStep;
  }
  return {
    state: { ...loadStep.state, watch: { ...watch, inFlight: true } },
    effects: [...loadStep.effects, { type: 'table.watch' }],
  };
}

function isLoadDue(state: TableState, atMs: number): boolean {
  if (state.load.inFlight || atMs < state.load.nextAtMs) return false;
  return isBehind(state) || atMs >= state.refreshAtMs;
}

function isBehind(state: TableState): boolean {
  return state.number === 0 || state.highestKnownNumber > state.number;
}

function startLoad(state: TableState, event: EventBase): TableStep {
  const peerIds = pickTableSources({
    selfId: state.selfId,
    live: state.live,
    numbersByEntry: state.numbersByEntry,
    number: state.highestKnownNumber,
    random: event.random,
  });
  return {
    state: { ...state, load: { ...state.load, inFlight: true } },
    effects: [
      {
        type: 'table.load',
        currentNumber: state.number,
        wantedNumber: state.highestKnownNumber,
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

function recordPeerNumber(
  state: TableState,
  event: EventBase & { readonly number: number; readonly fromEntryId: string },
): TableStep {
  const previousNumber = state.numbersByEntry.get(event.fromEntryId) ?? 0;
  if (event.number === previousNumber) return unchanged(state);
  const next: TableState = {
    ...state,
    numbersByEntry: new Map(state.numbersByEntry).set(
      event.fromEntryId,
      event.number,
    ),
    highestKnownNumber: Math.max(state.highestKnownNumber, event.number),
  };
  const isNewHighest =
    event.number > state.highestKnownNumber && isBehind(next);
  if (!isNewHighest || next.load.inFlight) return { state: next, effects: [] };
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
      highestKnownNumber: Math.max(state.highestKnownNumber, event.number),
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
    maxMs: TABLE_RETRY_MAX_DELAY_MS,
  });
  const jitterMs = (TABLE_REFRESH_INTERVAL_MS / 2) * event.random;
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
        : event.atMs + TABLE_REFRESH_INTERVAL_MS + jitterMs,
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
      : retryDelay(failures, event.random, { maxMs: TABLE_RETRY_MAX_DELAY_MS });
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
