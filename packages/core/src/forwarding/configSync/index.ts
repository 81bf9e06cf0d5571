import {
  compareExactIntegers,
  type ExactInteger,
  highestExactInteger,
} from '@endivegate/contracts/forwarding';
import { scoreRendezvous } from '../../scoreRendezvous/index.ts';
import type { Step } from '../../step/index.ts';

/** A peer that has a newer configuration. */
export interface ConfigSource {
  readonly name: string;
  /** IP address and port for traffic between entries. */
  readonly address: string;
  /** Version of its configuration. */
  readonly version: ExactInteger;
  readonly isLocal: boolean;
  /** Preference of this entry among peers alike; higher is asked first. */
  readonly rank: number;
  /** It is not asked before this time. */
  readonly pausedUntilMs: number;
  /** Fetches that failed since it was first reported. */
  readonly failures: number;
}

/** The version that a peer reports to an entry. */
export interface ConfigReport {
  /** Name of the entry that receives the report. */
  readonly entryName: string;
  readonly name: string;
  readonly address: string;
  /** Whether the peer is in the data centre of the receiver. */
  readonly isLocal: boolean;
  /** Capacity relative to other entries. */
  readonly weight: number;
  readonly version: ExactInteger;
}

/** A configuration as the store holds it. Positions are unique only within an era. */
export interface StoredConfig {
  readonly era: ExactInteger;
  readonly revision: ExactInteger;
  readonly version: ExactInteger;
}

/** A fetch in progress. */
export interface ConfigFetch {
  readonly startedAtMs: number;
  /** Version that the peer had reported by then. */
  readonly version: ExactInteger;
}

/** What an entry knows of configurations that are newer than the active one. */
export interface ConfigSyncState {
  /** Version of the active configuration; 0 without one. */
  readonly version: ExactInteger;
  /** When each newer version was first reported. */
  readonly reportedAtMs: ReadonlyMap<ExactInteger, number>;
  /** Peers with a newer version, by name. */
  readonly sources: ReadonlyMap<string, ConfigSource>;
  /** Fetches in progress, by the name of the peer. */
  readonly fetches: ReadonlyMap<string, ConfigFetch>;
  /** Nothing is fetched before this time. */
  readonly notBeforeMs: number;
  /** When the store was last read directly. */
  readonly storeReadAtMs: number;
  /** The newest document that was read in the store; undefined before the first one. */
  readonly stored: StoredConfig | undefined;
}

/** Events of the exchange of configurations; times are from the monotonic clock. */
export type ConfigSyncEvent =
  /** A peer reports the version of its configuration. */
  | {
      readonly type: 'configSync.reported';
      readonly atMs: number;
      readonly report: ConfigReport;
      /** Time to wait for the store's own notification, unless this entry is behind
       * already. */
      readonly delayMs: number;
    }
  /** A document was read in the store. */
  | { readonly type: 'configSync.stored'; readonly document: StoredConfig }
  /** A configuration became active. */
  | { readonly type: 'configSync.applied'; readonly version: ExactInteger }
  | {
      readonly type: 'configSync.fetchEnded';
      readonly atMs: number;
      readonly name: string;
      readonly result: FetchResult;
    }
  | { readonly type: 'configSync.ticked'; readonly atMs: number };

/** End of a fetch: the version that the peer has, or why there is none. */
export type FetchResult =
  | { readonly type: 'received'; readonly version: ExactInteger }
  /** The peer serves as many others as it can. */
  | { readonly type: 'busy' }
  | { readonly type: 'failed' };

/** A fetch to start. */
export type ConfigSyncEffect =
  | { readonly type: 'configSync.fetchDue'; readonly source: ConfigSource }
  /** No peer has helped in time: the store is to be read directly. */
  | { readonly type: 'configSync.storeReadDue' }
  /** The store holds a newer document whose version is not above that of the one before,
   * so that it has no effect. */
  | {
      readonly type: 'configSync.notNewer';
      readonly document: StoredConfig;
      /** Version of the active configuration. */
      readonly active: ExactInteger;
    };

/** State of an entry that has no configuration and has heard of none. */
export const initialConfigSync: ConfigSyncState = {
  version: 0,
  reportedAtMs: new Map(),
  sources: new Map(),
  fetches: new Map(),
  notBeforeMs: 0,
  storeReadAtMs: -Infinity,
  stored: undefined,
};

/** A further peer is asked when the newest fetch has taken this long: several times the
 * transfer of a large configuration over a slow link. */
const HEDGE_MS = 400;

/** Fetches in progress at once. */
const MAX_FETCHES = 3;

/** Time until a peer is asked again. A busy one has served another by then. */
const PAUSE_MS = { received: 0, busy: 120, failed: 1000 };

/** A peer that failed this often is asked again only after another report. */
const MAX_FAILURES = 4;

/** Time for two peers to answer before the store is read, and between two reads. */
const STORE_READ_AFTER_MS = 1000;

/**
 * Decides from which peer a newer configuration is fetched. Answers the load pattern
 * "all replicas copy from one".
 *
 * Each entry ranks the peers that have a newer version by weighted rendezvous hashing,
 * so that entries that learn of it from the same message spread over them by
 * capacity. A peer that fails, is busy or stays silent does not hold the entry up: the
 * next one is asked at once, or beside it after a while. If none helps, the entry reads
 * the store.
 *
 * @param state - Current state.
 * @param event - The event to apply.
 * @returns The new state and the fetches to start.
 *
 * @example
 * reduceConfigSync(initialConfigSync, { type: 'configSync.ticked', atMs: 0 });
 */
export function reduceConfigSync(
  state: ConfigSyncState,
  event: ConfigSyncEvent,
): Step<ConfigSyncState, ConfigSyncEffect> {
  switch (event.type) {
    case 'configSync.reported':
      return startDue(applyReport(state, event), event.atMs);
    case 'configSync.stored':
      return noteStored(state, event.document);
    case 'configSync.applied':
      return { state: applyVersion(state, event.version), effects: [] };
    case 'configSync.fetchEnded':
      return startDue(endFetch(state, event), event.atMs);
    case 'configSync.ticked':
      return startDue(state, event.atMs);
  }
}

/**
 * Returns the newest version that an entry has heard of.
 *
 * @param state - Current state.
 * @returns The version; that of the active configuration if no peer has a newer one.
 *
 * @example
 * newestReported(state.configSync);
 */
export function newestReported(state: ConfigSyncState): ExactInteger {
  return highestExactInteger([state.version, ...state.reportedAtMs.keys()]);
}

/**
 * Returns since when an entry has known of a configuration newer than the active one.
 *
 * @param state - Current state.
 * @param version - Only this version and earlier ones count; all by default.
 * @returns Monotonic time in ms; undefined if the entry has heard of none.
 *
 * @example
 * behindSinceMs(state.configSync);
 */
export function behindSinceMs(
  state: ConfigSyncState,
  version: ExactInteger = newestReported(state),
): number | undefined {
  const times = [...state.reportedAtMs]
    .filter(([reported]) => reported <= version)
    .map(([, atMs]) => atMs);
  return times.length === 0 ? undefined : Math.min(...times);
}

function applyReport(
  state: ConfigSyncState,
  event: Extract<ConfigSyncEvent, { type: 'configSync.reported' }>,
): ConfigSyncState {
  const { atMs, report } = event;
  const { name, address, version } = report;
  const known = state.sources.get(name);
  const isKnown = known?.address === address && version <= known.version;
  if (isKnown || version <= state.version) return state;
  const isBehind = state.reportedAtMs.size > 0;
  const dueAtMs = atMs + event.delayMs;
  return {
    ...state,
    notBeforeMs: isBehind ? Math.min(state.notBeforeMs, dueAtMs) : dueAtMs,
    reportedAtMs: state.reportedAtMs.has(version)
      ? state.reportedAtMs
      : new Map(state.reportedAtMs).set(version, atMs),
    sources: new Map(state.sources).set(name, {
      name,
      address,
      version,
      isLocal: report.isLocal,
      rank: scoreRendezvous(
        `${report.entryName}\n${version}`,
        name,
        report.weight,
      ),
      pausedUntilMs: known?.pausedUntilMs ?? 0,
      failures: known?.failures ?? 0,
    }),
  };
}

function noteStored(
  state: ConfigSyncState,
  document: StoredConfig,
): Step<ConfigSyncState, ConfigSyncEffect> {
  const { stored, version: active } = state;
  if (stored !== undefined && !isWrittenAfter(document, stored)) {
    return { state, effects: [] };
  }
  const isNewer = stored === undefined || document.version > stored.version;
  return {
    state: { ...state, stored: document },
    effects: isNewer ? [] : [{ type: 'configSync.notNewer', document, active }],
  };
}

function isWrittenAfter(a: StoredConfig, b: StoredConfig): boolean {
  return a.era === b.era ? a.revision > b.revision : a.era > b.era;
}

function applyVersion(
  state: ConfigSyncState,
  version: ExactInteger,
): ConfigSyncState {
  if (version <= state.version) return state;
  return {
    ...state,
    version,
    reportedAtMs: new Map(
      [...state.reportedAtMs].filter(([reported]) => reported > version),
    ),
    sources: new Map(
      [...state.sources].filter(([, source]) => source.version > version),
    ),
  };
}

function endFetch(
  state: ConfigSyncState,
  event: Extract<ConfigSyncEvent, { type: 'configSync.fetchEnded' }>,
): ConfigSyncState {
  const { atMs, name, result } = event;
  const fetches = new Map(
    [...state.fetches].filter(([source]) => source !== name),
  );
  const source = state.sources.get(name);
  if (source === undefined) return { ...state, fetches };
  const failures = source.failures + (result.type === 'failed' ? 1 : 0);
  const reported = state.fetches.get(name)?.version ?? 0;
  // A process that has started again may be behind its earlier report.
  const isBehind = result.type === 'received' && result.version < reported;
  const isUseless = isBehind || failures >= MAX_FAILURES;
  if (isUseless) return removeSource({ ...state, fetches }, name);
  const pausedUntilMs = atMs + PAUSE_MS[result.type];
  return {
    ...state,
    fetches,
    sources: new Map(state.sources).set(name, {
      ...source,
      failures,
      pausedUntilMs,
    }),
  };
}

/** Removes a source, and the versions that no other one has. */
function removeSource(state: ConfigSyncState, name: string): ConfigSyncState {
  const sources = new Map(state.sources);
  sources.delete(name);
  const newest = highestExactInteger(
    [...sources.values()].map((one) => one.version),
  );
  return {
    ...state,
    sources,
    reportedAtMs: new Map(
      [...state.reportedAtMs].filter(([version]) => version <= newest),
    ),
  };
}

/** Starts what is due: a fetch, a further one beside those that take long, and a read
 * of the store. */
function startDue(
  state: ConfigSyncState,
  atMs: number,
): Step<ConfigSyncState, ConfigSyncEffect> {
  const sinceMs = behindSinceMs(state);
  if (sinceMs === undefined || atMs < state.notBeforeMs) {
    return { state, effects: [] };
  }
  const fetched = startFetch(state, atMs);
  const readDueAtMs = Math.max(sinceMs, state.storeReadAtMs);
  if (atMs < readDueAtMs + STORE_READ_AFTER_MS) return fetched;
  return {
    state: { ...fetched.state, storeReadAtMs: atMs },
    effects: [...fetched.effects, { type: 'configSync.storeReadDue' }],
  };
}

function startFetch(
  state: ConfigSyncState,
  atMs: number,
): Step<ConfigSyncState, ConfigSyncEffect> {
  const newestStartMs = Math.max(
    -Infinity,
    ...[...state.fetches.values()].map(({ startedAtMs }) => startedAtMs),
  );
  const isFree =
    state.fetches.size < MAX_FETCHES && atMs - newestStartMs >= HEDGE_MS;
  const source = isFree ? pickSource(state, atMs) : undefined;
  if (source === undefined) return { state, effects: [] };
  return {
    state: {
      ...state,
      fetches: new Map(state.fetches).set(source.name, {
        startedAtMs: atMs,
        version: source.version,
      }),
    },
    effects: [{ type: 'configSync.fetchDue', source }],
  };
}

/** Picks the newest source, in this data centre first, that is not asked already. */
function pickSource(
  state: ConfigSyncState,
  atMs: number,
): ConfigSource | undefined {
  return [...state.sources.values()]
    .filter(
      ({ name, pausedUntilMs }) =>
        !state.fetches.has(name) && pausedUntilMs <= atMs,
    )
    .toSorted(
      (a, b) =>
        compareExactIntegers(b.version, a.version) ||
        Number(b.isLocal) - Number(a.isLocal) ||
        b.rank - a.rank,
    )[0];
}
