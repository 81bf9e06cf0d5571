/**
 * Plays planned stops of entries in virtual time and without a network: callers go on using the
 * entries, while their targets become slower or quicker.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { fitsGrace } from '../fitsGrace/index.ts';
import {
  shutdownBudget,
  type ShutdownBudget,
} from '../shutdownBudget/index.ts';
import { createTargetPark } from './_lib/targetPark.ts';
import {
  type Draft,
  drawRequest,
  pick,
  type TrafficKind,
} from './_lib/traffic.ts';
import {
  createVirtualEntry,
  type OpenRequest,
  type Outcome,
  type VirtualEntry,
} from './_lib/virtualEntry.ts';
import type {
  Attempt,
  LoadChange,
  PlayShutdownOptions,
  ShutdownReport,
  ShutdownSchedule,
} from './types.ts';

export type * from './types.ts';

interface Caller {
  readonly kind: TrafficKind;
  /** Uses its connection until the entry is gone. */
  readonly isSticky: boolean;
  /** Time after a SIGTERM for which it holds an address list from before. */
  readonly listMs: number;
  readonly untilMs: number;
  readonly isOnce: boolean;
  nextAtMs: number;
  entry: VirtualEntry | undefined;
  /** A request that entries refused. */
  refused:
    { readonly draft: Draft; readonly by: readonly VirtualEntry[] } | undefined;
}

const STEP_MS = 20;
const SECOND_MS = 1000;
const ADDRESS_LIFETIME_MS = 3000;

/** The target is excused if it is at work in the last sixth of the grace period. */
const EXCUSED_SHARE = 5 / 6;

const LONGEST_THINK_MS = 600;
const STICKY_SHARE = 0.5;

/** Kinds of callers, in turn. */
const CALLERS: readonly TrafficKind[] = [
  'call',
  'order',
  'stream',
  'stream',
  'stream',
  'call',
  'order',
  'stream',
];

/**
 * Plays a schedule, and records how each request ended at an entry that was stopped.
 *
 * @param schedule - Stops, and changes of targets and callers.
 * @param options - The decisions; by default those of the product.
 *
 * @example
 * playShutdown(schedule).attempts.filter(({ isLost }) => isLost);
 */
export function playShutdown(
  schedule: ShutdownSchedule,
  options: PlayShutdownOptions = {},
): ShutdownReport {
  const { graceMs, signalsMs, warmUpMs, changes } = schedule;
  const { signalLagMs = 0, deliveryMs = 0, timeoutMs } = schedule;
  const { fits = fitsGrace, budget = budgetOf } = options;
  const random = createRandom(schedule.seed);
  const ownKinds = Array.from(
    { length: schedule.callers },
    (_, index) => CALLERS[index % CALLERS.length] ?? 'call',
  );
  const park = createTargetPark({
    changes,
    engineCallers: callersOfAll('engine'),
    plainCallers: callersOfAll('plain'),
  });
  const entries = signalsMs.map(() =>
    createVirtualEntry({
      ...{ budget: budget(graceMs), fits, park },
      deliveryMs: () => deliveryMs * random(),
    }),
  );
  const callers = [
    ...entries.flatMap((entry) =>
      ownKinds.map((kind) => createCaller(kind, { entry })),
    ),
    ...changes.flatMap(callersOf),
  ];
  const attempts: Attempt[] = [];
  const retries: Outcome[] = [];
  const lastSignalMs = Math.max(...signalsMs.map((ms) => ms ?? 0));
  const untilMs = lastSignalMs + graceMs + SECOND_MS;

  /** Callers at the start that need engines, or plain targets. */
  function callersOfAll(needs: 'engine' | 'plain'): number {
    const own = ownKinds.filter(
      (kind) => (kind === 'stream') === (needs === 'engine'),
    );
    return own.length * signalsMs.length;
  }

  function createCaller(
    kind: TrafficKind,
    defaults: Partial<Caller> = {},
  ): Caller {
    const { untilMs: until = Infinity, isOnce = false } = defaults;
    return {
      ...{ kind, isOnce, untilMs: until },
      isSticky: random() < STICKY_SHARE,
      listMs: ADDRESS_LIFETIME_MS * random(),
      nextAtMs: defaults.nextAtMs ?? -warmUpMs + LONGEST_THINK_MS * random(),
      entry: defaults.entry,
      refused: undefined,
    };
  }

  function callersOf(change: LoadChange): readonly Caller[] {
    if (change.type === 'pace' || change.type === 'release') return [];
    const isOnce = change.type === 'longPrompts';
    return Array.from({ length: change.callers }, () =>
      createCaller(isOnce ? 'longStream' : (pick(CALLERS, random) ?? 'call'), {
        nextAtMs: change.fromMs + LONGEST_THINK_MS * random(),
        untilMs: change.fromMs + change.forMs,
        isOnce,
      }),
    );
  }

  function chooseEntry(
    { entry, refused, listMs }: Caller,
    nowMs: number,
  ): VirtualEntry | undefined {
    const isKept = entry !== undefined && !entry.isGone();
    if (isKept && refused === undefined) return entry;
    const present = entries.filter(
      (one) => !one.isGone() && refused?.by.includes(one) !== true,
    );
    const listed = present.filter((one) => {
      const signalMs = signalsMs[entries.indexOf(one)] ?? Infinity;
      return nowMs < signalMs + listMs;
    });
    return pick(listed, random);
  }

  function send(caller: Caller, nowMs: number): void {
    if (nowMs < caller.nextAtMs || nowMs >= caller.untilMs) return;
    const entry = chooseEntry(caller, nowMs);
    if (entry === undefined) {
      caller.refused = undefined;
      caller.nextAtMs = nowMs + LONGEST_THINK_MS;
      return;
    }
    const { refused } = caller;
    const draft =
      refused?.draft ?? drawRequest(caller.kind, { timeoutMs, random });
    const keepsEntry = caller.isSticky && caller.entry?.isGone() === false;
    if (!keepsEntry) caller.entry = entry;
    Object.assign(caller, { nextAtMs: Infinity, refused: undefined });
    const request: OpenRequest = {
      ...draft,
      arrivedAtMs: nowMs,
      readAtMs: nowMs + draft.bodyMs,
      target: undefined,
      deliveredAtMs: undefined,
      onEnd(outcome, atMs) {
        if (refused !== undefined) retries.push(outcome);
        record({ request, entry, outcome, atMs });
        const by = [...(refused?.by ?? []), entry];
        goOn({ caller, draft, by, outcome, atMs });
      },
    };
    entry.accept(request);
  }

  function goOn(ended: {
    readonly caller: Caller;
    readonly draft: Draft;
    /** Entries that were asked, in their order. */
    readonly by: readonly VirtualEntry[];
    readonly outcome: Outcome;
    readonly atMs: number;
  }): void {
    const { caller, draft, by, outcome, atMs } = ended;
    const isClosing = by.at(-1)?.signalledAtMs() !== undefined;
    if (isClosing && !caller.isSticky) caller.entry = undefined;
    if (outcome === 'refused' && isClosing) {
      caller.refused = { draft, by };
      caller.nextAtMs = atMs;
    } else if (!caller.isOnce) {
      caller.nextAtMs = atMs + LONGEST_THINK_MS * random();
    }
  }

  function record(ended: {
    readonly request: OpenRequest;
    readonly entry: VirtualEntry;
    readonly outcome: Outcome;
    readonly atMs: number;
  }): void {
    const { request, outcome, atMs } = ended;
    const entry = entries.indexOf(ended.entry);
    const signalMs = signalsMs[entry] ?? Infinity;
    if (atMs < signalMs) return;
    const sentMs = request.readAtMs - signalMs;
    const endedMs = atMs - signalMs;
    const isAtWork = request.target?.isRunning(request.work) ?? false;
    const isExcused =
      isAtWork &&
      sentMs <= ADDRESS_LIFETIME_MS &&
      endedMs >= EXCUSED_SHARE * graceMs;
    attempts.push({
      ...{ entry, kind: request.kind, sentMs, endedMs, outcome },
      isLost: outcome === 'cut' && !isExcused,
      tookMs: atMs - request.readAtMs,
    });
  }

  const steps = Math.ceil((untilMs + warmUpMs) / STEP_MS);
  Array.from({ length: steps }, (_, step) => {
    const nowMs = step * STEP_MS - warmUpMs;
    signalsMs.forEach((signalMs, index) => {
      const entry = entries[index];
      const atMs = (signalMs ?? Infinity) + signalLagMs;
      if (nowMs >= atMs && entry?.signalledAtMs() === undefined) {
        entry?.signal(atMs);
      }
    });
    callers.forEach((caller) => {
      send(caller, nowMs);
    });
    park.advance(nowMs, STEP_MS);
    entries.forEach((entry) => {
      entry.advance(nowMs);
    });
  });
  return { attempts, retries };
}

function budgetOf(graceMs: number): ShutdownBudget {
  return shutdownBudget({ graceMs });
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
