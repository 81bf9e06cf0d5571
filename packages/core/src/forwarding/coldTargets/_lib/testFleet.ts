import type { ListedTarget } from '@endivegate/contracts/forwarding';
import { initialRoster, reduceRoster } from '../../targetRoster/index.ts';
import {
  type ColdTargetsState,
  initialColdTargets,
  type MemberReport,
  reduceColdTargets,
  type WarmUpRule,
  warmUpObstacle,
} from '../index.ts';

/** A fault of some entries for some time. */
export interface SimulatedFault {
  /**
   * `replaced`: stopped, and started with another address at the end; `restarted`:
   * with the same address; `cutOff`: not heard by the other entries and not hearing
   * them.
   */
  readonly kind: 'cutOff' | 'frozen' | 'replaced' | 'restarted' | 'stopped';
  readonly atMs: number;
  readonly forMs: number;
  /** First entry, and number of entries, as parts of the fleet. */
  readonly from: number;
  readonly part: number;
}

/** A fleet of entries that send to one cold target whenever they may. */
export interface SimulatedFleet {
  readonly entries: number;
  readonly rule: WarmUpRule;
  readonly forMs: number;
  readonly faults?: readonly SimulatedFault[];
  /** When each entry learns that another process has started. */
  readonly newsDelayMs?: (entry: number) => number;
  /** Time from a send until its arrival. */
  readonly travelMs?: (send: number) => number;
  /** Entries of builds that know nothing of cold targets; they send nothing here. */
  readonly unaware?: number;
}

/** Bound of the users' deployments. */
export const BOUND = { overrun: 1.5, slack: 5 };

const STEP_MS = 20;
const TICK_MS = 200;
const HEARTBEAT_MS = 800;

/** The entries run for this long before the target starts anew. */
export const COLD_FROM_MS = 4000;

const DATA_CENTRES = ['a', 'b', 'c'];

interface SimulatedEntry {
  address: string;
  startedAtMs: number;
  state: ColdTargetsState;
  /** Time at which each other entry was last heard, by address. */
  heardAtMs: Map<string, number>;
  nextTickMs: number;
}

const listedWith = (bornMs: number, warmUpLeftMs: number): ListedTarget => ({
  ...{ id: 't', service: 's', address: '10.0.0.1:80', dataCentre: 'a' },
  ...{ draining: false, slots: 8, bornMs, warmUpLeftMs },
});

function rosterTargets(bornMs: number, warmUpLeftMs: number) {
  const event = { type: 'roster.listed', atMs: COLD_FROM_MS } as const;
  const targets = [listedWith(bornMs, warmUpLeftMs)];
  const { state } = reduceRoster(initialRoster, { ...event, targets });
  return [...state.targets.values()];
}

/** Plays the fleet. Returns the times at which requests arrive at the target. */
export function simulateColdTarget(fleet: SimulatedFleet): readonly number[] {
  const { entries: count, faults = [], unaware = 0 } = fleet;
  const { newsDelayMs = () => 0, travelMs = () => 0 } = fleet;
  const targetsBefore = rosterTargets(1, 0);
  const targetsAfter = rosterTargets(2, 0);
  // What an entry reads that does not know the process before it.
  const targetsAtStart = rosterTargets(2, fleet.rule.warmUpMs);
  const rules = new Map([['s', fleet.rule]]);
  const addresses = Array.from({ length: count }, (_, index) => `e${index}`);
  const entries = addresses.map((address, index) => start(address, index, 0));
  const arrivalsMs: number[] = [];

  function start(address: string, index: number, atMs: number): SimulatedEntry {
    const nextTickMs = atMs + ((index * STEP_MS) % TICK_MS);
    const state = initialColdTargets;
    return {
      ...{ address, startedAtMs: atMs, state, nextTickMs },
      heardAtMs: new Map(),
    };
  }

  function faultsOf(index: number, nowMs: number): readonly SimulatedFault[] {
    return faults.filter(
      ({ atMs, forMs, from, part }) =>
        nowMs >= atMs &&
        nowMs < atMs + forMs &&
        (index / count - from + 1) % 1 < part,
    );
  }

  function hasFault(
    index: number,
    nowMs: number,
    ...kinds: readonly SimulatedFault['kind'][]
  ): boolean {
    return faultsOf(index, nowMs).some(({ kind }) => kinds.includes(kind));
  }

  function isRunning(index: number, nowMs: number): boolean {
    return !hasFault(index, nowMs, 'stopped', 'replaced', 'restarted');
  }

  function exchange(nowMs: number): void {
    const active = entries
      .map((entry, index) => ({ entry, index }))
      .filter(
        ({ index }) =>
          isRunning(index, nowMs) && !hasFault(index, nowMs, 'frozen'),
      )
      .map((one) => ({
        ...one,
        isCutOff: hasFault(one.index, nowMs, 'cutOff'),
      }));
    active.forEach((one) => {
      active.forEach((other) => {
        if (one === other || one.isCutOff !== other.isCutOff) return;
        one.entry.heardAtMs.set(other.entry.address, nowMs);
      });
    });
  }

  function reportsOf(entry: SimulatedEntry): readonly MemberReport[] {
    const heard = [...entry.heardAtMs].map(([address, heardAtMs]) => {
      const index = Number.parseInt(address.slice(1), 10);
      return {
        ...{ address, heardAtMs, isLeaving: false },
        dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
        isAware: index >= unaware,
      };
    });
    entry.heardAtMs.clear();
    const seeds = addresses
      .filter((address) => address !== entry.address)
      .map((address) => ({
        ...{ address, heardAtMs: undefined, dataCentre: undefined },
        ...{ isLeaving: false, isAware: true },
      }));
    return entry.state.tickedAtMs === undefined ? [...seeds, ...heard] : heard;
  }

  function tick(entry: SimulatedEntry, index: number, nowMs: number): void {
    const knowsNew = nowMs >= COLD_FROM_MS + newsDelayMs(index);
    const isFirst = entry.state.tickedAtMs === undefined;
    const newTargets = isFirst ? targetsAtStart : targetsAfter;
    entry.state = reduceColdTargets(entry.state, {
      type: 'coldTargets.ticked',
      atMs: nowMs,
      rules,
      bound: BOUND,
      targets: knowsNew ? newTargets : targetsBefore,
      members: reportsOf(entry),
      own: {
        address: entry.address,
        dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
        startedAtMs: entry.startedAtMs,
        isServing: true,
      },
    }).state;
  }

  function send(entry: SimulatedEntry, index: number, nowMs: number): void {
    const knowsNew = nowMs >= COLD_FROM_MS + newsDelayMs(index);
    const target = targetsAfter[0];
    if (!knowsNew || target === undefined || index < unaware) return;
    if (warmUpObstacle(entry.state, target, nowMs) !== undefined) return;
    arrivalsMs.push(nowMs + travelMs(arrivalsMs.length));
    const event = { type: 'coldTargets.sent', id: 't', calls: 1 } as const;
    entry.state = reduceColdTargets(entry.state, {
      ...event,
      atMs: nowMs,
    }).state;
  }

  Array.from({ length: fleet.forMs / STEP_MS }, (_, step) => {
    const nowMs = step * STEP_MS;
    if (nowMs % HEARTBEAT_MS === 0) exchange(nowMs);
    entries.forEach((entry, index) => {
      const wasRunning = isRunning(index, nowMs - STEP_MS);
      if (!isRunning(index, nowMs)) return;
      if (!wasRunning) {
        const isReplaced = hasFault(index, nowMs - STEP_MS, 'replaced');
        const address = isReplaced ? `${entry.address}'` : entry.address;
        Object.assign(entry, start(address, index, nowMs));
      }
      if (hasFault(index, nowMs, 'frozen')) return;
      // After a freeze, requests are served before the timers.
      send(entry, index, nowMs);
      if (nowMs < entry.nextTickMs) return;
      entry.nextTickMs = nowMs + TICK_MS;
      tick(entry, index, nowMs);
    });
  });
  return arrivalsMs;
}

/** Most arrivals in any second. */
export function busiestSecond(arrivalsMs: readonly number[]): number {
  const sorted = [...arrivalsMs].sort((one, other) => one - other);
  const counts = sorted.map((fromMs, index) => {
    const end = sorted.findIndex((ms) => ms >= fromMs + 1000);
    return (end < 0 ? sorted.length : end) - index;
  });
  return Math.max(0, ...counts);
}
