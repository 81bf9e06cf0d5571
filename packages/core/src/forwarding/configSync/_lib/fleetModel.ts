/**
 * Model of a fleet that receives configurations: a clock, links, a store and faults,
 * around the decisions of the product.
 */
import type { ExactInteger } from '@endivegate/contracts/forwarding';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import {
  BEAT_INTERVAL_MS,
  isOverdue,
  sharedWatchMs,
  TAKEOVER_SPREAD_MS,
  type WatcherBeat,
  watchesStore,
} from '../../storeWatchers/index.ts';
import {
  behindSinceMs,
  type ConfigSyncEvent,
  type ConfigSyncState,
  initialConfigSync,
  reduceConfigSync,
} from '../index.ts';

/** A fault of one entry: it does not run, or has lost its paths to the store or to all
 * other entries. A killed one starts again without a configuration. */
export interface EntryFault {
  readonly kind: 'killed' | 'frozen' | 'storeSilent' | 'cut';
  readonly entry: number;
  readonly fromMs: number;
  readonly forMs: number;
}

/** A run of the model. */
export interface FleetPlan {
  readonly entries: number;
  readonly seed: number;
  /** Size of a configuration as entries send it. */
  readonly bytes: number;
  /** Times at which the store has acknowledged a version. */
  readonly writesMs: readonly number[];
  readonly faults: readonly EntryFault[];
}

/** An entry that was behind for longer than allowed, or went back. */
export interface FleetViolation {
  readonly entry: string;
  readonly atMs: number;
  readonly version: ExactInteger;
  readonly expected: number;
}

interface Entry {
  readonly index: number;
  readonly name: string;
  readonly dataCentre: number;
  readonly weight: number;
  readonly bytesPerMs: number;
  readonly faults: readonly EntryFault[];
  sync: ConfigSyncState;
  beats: Map<string, WatcherBeat>;
  /** Time of the store's last answer, and of its next one if it answers. */
  watch: { answeredAtMs: number; nextAtMs: number } | undefined;
  takeoverAtMs: number | undefined;
  hasToldOverdue: boolean;
  /** End of each response in progress. */
  responses: number[];
}

/** Every so many entries one has more processors and a faster link. */
export const STRONG_INTERVAL = 12;

const STEP_MS = 25;
const END_MS = 14_000;

/** Bounds of the deployment: a change takes effect within the first, at entries without
 * a fault for the second. */
const APPLY_MS = 3000;
const STABLE_MS = 3000;

const STORE_TIMEOUT_MS = 900;
const STORE_DELAY_MS = 150;
const BATCH_DELAY_MS = 600;
const STATUS_INTERVAL_MS = 900;
const STATUS_FETCH_DELAY_MS = 250;
const NEWS_SPREAD_MS = 100;
const FETCH_TIMEOUT_MS = 1500;
const MAX_FLEET_GROUP = 64;
const MAX_RESPONSES = 6;
const DELIVERY_MS = 10;
const HUB_DELIVERY_MS = 80;
const LOST_PER_CENT = 2;
const PER_CENT = 100;

/**
 * Runs a fleet.
 *
 * @param plan - Size, changes and faults.
 * @returns Every violation of the bounds, first those that are seen first.
 */
export function runFleet(plan: FleetPlan): readonly FleetViolation[] {
  const generator = xoroshiro128plus(plan.seed);
  const random = (below: number): number =>
    uniformInt(generator, 0, Math.max(Math.floor(below) - 1, 0));
  const answerMs = sharedWatchMs({
    applyMs: APPLY_MS,
    storeTimeoutMs: STORE_TIMEOUT_MS,
  });
  const violations: FleetViolation[] = [];
  const entries = Array.from({ length: plan.entries }, (_, index): Entry => {
    const isStrong = index % STRONG_INTERVAL === 0;
    return {
      index,
      name: `e${String(index).padStart(3, '0')}`,
      dataCentre: index % 3,
      weight: isStrong ? 2.7 : 0.3,
      bytesPerMs: isStrong ? 25_000 : 2500,
      faults: plan.faults.filter(({ entry }) => entry === index),
      ...freshState(),
    };
  });
  /** What is due at each step. */
  const messages = new Map<number, (() => void)[]>();
  let nowMs = 0;

  const hasFault = (
    { faults }: Entry,
    kinds: readonly EntryFault['kind'][],
    sinceMs = nowMs,
  ): boolean =>
    faults.some(
      ({ kind, fromMs, forMs }) =>
        kinds.includes(kind) && fromMs <= nowMs && fromMs + forMs > sinceMs,
    );
  const runs = (entry: Entry): boolean =>
    !hasFault(entry, ['killed', 'frozen']);
  const hears = (entry: Entry): boolean =>
    runs(entry) && !hasFault(entry, ['cut']);
  const newestStored = (): number =>
    plan.writesMs.filter((atMs) => atMs <= nowMs).length;

  function later(delayMs: number, run: () => void): void {
    const dueAtMs = Math.ceil((nowMs + delayMs + 1) / STEP_MS) * STEP_MS;
    const due = messages.get(dueAtMs);
    if (due === undefined) messages.set(dueAtMs, [run]);
    else due.push(run);
  }

  function dispatch(entry: Entry, event: ConfigSyncEvent): void {
    const step = reduceConfigSync(entry.sync, event);
    entry.sync = step.state;
    step.effects.forEach((effect) => {
      if (effect.type === 'configSync.storeReadDue') readStore(entry);
      if (effect.type === 'configSync.fetchDue') {
        fetch(entry, effect.source.name);
      }
    });
  }

  function apply(
    entry: Entry,
    version: ExactInteger,
    fromStore: boolean,
  ): void {
    if (version <= entry.sync.version) return;
    dispatch(entry, { type: 'configSync.applied', version });
    if (fromStore) tell(entry);
    sendStatus(entry, fromStore ? DELIVERY_MS : HUB_DELIVERY_MS);
  }

  function readStore(entry: Entry): void {
    const { sync } = entry;
    later(STORE_DELAY_MS, () => {
      const isSame = entry.sync.storeReadAtMs === sync.storeReadAtMs;
      if (isSame && runs(entry) && !hasFault(entry, ['storeSilent'])) {
        apply(entry, newestStored(), true);
      }
    });
  }

  function fetch(entry: Entry, name: string): void {
    const source = entries.find((one) => one.name === name);
    if (source === undefined) return;
    const { beats: incarnation } = entry;
    const end = (
      delayMs: number,
      version: ExactInteger | 'busy' | 'failed',
    ) => {
      later(delayMs, () => {
        if (entry.beats !== incarnation || !runs(entry)) return;
        if (typeof version !== 'string') apply(entry, version, false);
        const result =
          typeof version === 'string'
            ? { type: version }
            : { type: 'received' as const, version };
        const atMs = nowMs;
        dispatch(entry, { type: 'configSync.fetchEnded', atMs, name, result });
      });
    };
    if (!hears(source) || !hears(entry)) {
      end(
        hasFault(source, ['killed']) ? DELIVERY_MS : FETCH_TIMEOUT_MS,
        'failed',
      );
      return;
    }
    source.responses = source.responses.filter((endMs) => endMs > nowMs);
    if (source.responses.length >= MAX_RESPONSES) {
      end(DELIVERY_MS, 'busy');
      return;
    }
    const shareOfLink = source.bytesPerMs / (source.responses.length + 1);
    const transferMs =
      plan.bytes / Math.min(shareOfLink, entry.bytesPerMs) + DELIVERY_MS;
    source.responses.push(nowMs + transferMs);
    if (transferMs >= FETCH_TIMEOUT_MS) end(FETCH_TIMEOUT_MS, 'failed');
    else end(transferMs, source.sync.version);
  }

  function report(
    to: Entry,
    from: Entry,
    version: ExactInteger,
    delayMs: number,
  ) {
    if (version <= to.sync.version) return;
    dispatch(to, {
      type: 'configSync.reported',
      atMs: nowMs,
      report: {
        entryName: to.name,
        name: from.name,
        address: from.name,
        isLocal: from.dataCentre === to.dataCentre,
        weight: from.weight,
        version,
      },
      delayMs,
    });
  }

  function send(
    from: Entry,
    to: Entry,
    delayMs: number,
    run: () => void,
  ): void {
    if (to === from || !hears(from) || random(PER_CENT) < LOST_PER_CENT) return;
    later(delayMs, () => {
      if (hears(to)) run();
    });
  }

  function sendStatus(from: Entry, delayMs: number): void {
    const { version } = from.sync;
    entries.forEach((to) => {
      send(from, to, delayMs, () => {
        report(to, from, version, STATUS_FETCH_DELAY_MS);
      });
    });
  }

  const dataCentres = [0, 1, 2].map((dataCentre) =>
    entries.filter((one) => one.dataCentre === dataCentre),
  );
  const groupOf = ({ dataCentre }: Entry): readonly Entry[] =>
    plan.entries <= MAX_FLEET_GROUP ? entries : (dataCentres[dataCentre] ?? []);

  function overdueMs({ watch }: Entry): number {
    return watch === undefined
      ? Infinity
      : nowMs - watch.answeredAtMs - answerMs - STORE_TIMEOUT_MS;
  }

  function tell(from: Entry): void {
    const beat = {
      name: from.name,
      weight: from.weight,
      overdueMs: Math.max(overdueMs(from), 0),
    };
    const { version } = from.sync;
    groupOf(from).forEach((to) => {
      send(from, to, DELIVERY_MS, () => {
        to.beats.set(from.name, { ...beat, heardAtMs: nowMs });
        report(to, from, version, random(NEWS_SPREAD_MS));
      });
    });
  }

  function followStore(entry: Entry): void {
    const { watch } = entry;
    if (watch === undefined) return;
    if (nowMs >= watch.nextAtMs && !hasFault(entry, ['storeSilent'])) {
      watch.answeredAtMs = nowMs;
      const isChanged = newestStored() > entry.sync.version;
      apply(entry, newestStored(), true);
      watch.nextAtMs = nowMs + (isChanged ? BATCH_DELAY_MS : STEP_MS);
    }
    const isLate = isOverdue({ overdueMs: overdueMs(entry) });
    if (isLate && !entry.hasToldOverdue) tell(entry);
    entry.hasToldOverdue = isLate;
  }

  function chooseWatchers(entry: Entry): void {
    const groupSize = groupOf(entry).length;
    const { name, weight, beats } = entry;
    const isNeeded = watchesStore({
      ...{ name, weight, groupSize, nowMs },
      beats: [...beats.values()],
    });
    if (!isNeeded) {
      entry.takeoverAtMs = undefined;
      entry.watch = undefined;
      return;
    }
    entry.takeoverAtMs ??= nowMs + random(TAKEOVER_SPREAD_MS);
    if (entry.watch === undefined && nowMs >= entry.takeoverAtMs) {
      const nextAtMs = nowMs + STORE_DELAY_MS;
      entry.watch = { answeredAtMs: nowMs, nextAtMs };
    }
  }

  function stepEntry(entry: Entry): void {
    if (hasFault(entry, ['killed'])) Object.assign(entry, freshState());
    if (!runs(entry)) return;
    followStore(entry);
    const phaseMs = nowMs + entry.index * STEP_MS;
    if (phaseMs % (4 * STEP_MS) === 0) chooseWatchers(entry);
    if (phaseMs % BEAT_INTERVAL_MS === 0 && entry.watch !== undefined) {
      tell(entry);
    }
    if (phaseMs % STATUS_INTERVAL_MS === 0) sendStatus(entry, HUB_DELIVERY_MS);
    if (
      phaseMs % (2 * STEP_MS) === 0 &&
      behindSinceMs(entry.sync) !== undefined
    ) {
      dispatch(entry, { type: 'configSync.ticked', atMs: nowMs });
    }
  }

  function check(entry: Entry): void {
    const kinds: readonly EntryFault['kind'][] = [
      ...['killed' as const, 'frozen' as const],
      ...['storeSilent' as const, 'cut' as const],
    ];
    const { version } = entry.sync;
    const expected = plan.writesMs.filter(
      (atMs) => atMs + APPLY_MS <= nowMs,
    ).length;
    const inTouch = !hasFault(entry, kinds, nowMs - STABLE_MS);
    if (inTouch && version < expected) {
      violations.push({ entry: entry.name, atMs: nowMs, version, expected });
    }
  }

  for (; nowMs < END_MS; nowMs += STEP_MS) {
    messages.get(nowMs)?.forEach((run) => {
      run();
    });
    messages.delete(nowMs);
    entries.forEach(stepEntry);
    entries.forEach(check);
  }
  return violations;
}

function freshState(): Pick<
  Entry,
  'sync' | 'beats' | 'watch' | 'takeoverAtMs' | 'hasToldOverdue' | 'responses'
> {
  return {
    sync: initialConfigSync,
    beats: new Map(),
    watch: undefined,
    takeoverAtMs: undefined,
    hasToldOverdue: false,
    responses: [],
  };
}
