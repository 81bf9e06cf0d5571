import type { SuspectsDocument } from '@endivegate/contracts';
import { createReduce, initialStateOf } from '../createReduce/index.ts';
import type { SharedEvent } from '../events/index.ts';
import { applySuspectReport } from '../applySuspectReport/index.ts';
import type { RequestInfo } from '../request/index.ts';
import { requestsSlice, type RequestsEffect } from '../requests/index.ts';
import type { RaiseEffect } from '../slice/index.ts';
import {
  suspectsSlice,
  type SuspectsEffect,
  type SuspectsEvent,
} from './index.ts';

const slices = { requests: requestsSlice, suspects: suspectsSlice };
type Event = SharedEvent | SuspectsEvent;
type Effect = RequestsEffect | SuspectsEffect | RaiseEffect;
type State = ReturnType<typeof initialStateOf>;
type Unstamped<T> = T extends unknown ? Omit<T, 'atMs' | 'random'> : never;
const reduce = createReduce<State, Event, Effect>(slices);

/** Fingerprint of the request that crashes every engine. */
const POISON = 'poison';

/** Time after which nothing is under way any more. */
const SETTLE_TICKS = 60;

/** What may happen next; the number picks one of several. */
export type Action = readonly [
  kind:
    'poison' | 'innocent' | 'judge' | 'storeDown' | 'engine' | 'learn' | 'wait',
  pick: number,
];

interface Entry {
  state: State;
  readonly index: number;
}

interface Running {
  readonly entry: Entry;
  readonly requestId: string;
  readonly attemptId: string;
  readonly fingerprint: string;
}

/** Entries with requests and suspects before engines that a request crashes. */
export function createSuspectsFleet(options: {
  readonly entries: number;
  readonly engines: number;
}) {
  const entries = Array.from(
    { length: options.entries },
    (_, index): Entry => ({ index, state: initialStateOf(slices) }),
  );
  const running = new Map<string, Running[]>();
  const asked: { entry: Entry; effect: SuspectsEffect }[] = [];
  const told = new Map<string, string>();
  const fingerprints = new Map<string, string>();
  let document: SuspectsDocument = { suspects: [] };
  let crashes = 0;
  let requests = 0;
  let nextEngine = 0;
  let nowMs = 0;

  function deliver(entry: Entry, event: Unstamped<Event>): void {
    const stamped = { ...event, atMs: nowMs, random: 0.5 } as Event;
    const step = reduce(entry.state, stamped);
    entry.state = step.state;
    step.effects.forEach((effect) => {
      run(entry, effect);
    });
  }

  function run(entry: Entry, effect: Effect): void {
    switch (effect.type) {
      case 'requests.send': {
        const { requestId, attemptId, targetId } = effect;
        const fingerprint = fingerprints.get(requestId) ?? '';
        const attempt = { entry, requestId, attemptId, fingerprint };
        running.set(targetId, [...(running.get(targetId) ?? []), attempt]);
        return;
      }
      case 'requests.ask':
        deliver(entry, {
          type: 'attempt.reported',
          requestId: effect.requestId,
          attemptId: effect.attemptId,
          report: { type: 'absent' },
        });
        return;
      case 'requests.finish':
        told.set(effect.requestId, effect.end.type);
        return;
      case 'suspects.announce':
        asked.push({ entry, effect });
        return;
      case 'raise':
        if (effect.event.type === 'request.arrived') {
          place(entry, effect.event.request.requestId, []);
        }
        if (effect.event.type === 'request.retryWanted') {
          const { requestId, excludedTargetIds } = effect.event;
          place(entry, requestId, excludedTargetIds);
        }
        return;
      default:
    }
  }

  /** Stands in for routing: the next engine in turn that is not excluded. */
  function place(
    entry: Entry,
    requestId: string,
    excluded: readonly string[],
  ): void {
    nextEngine += 1;
    const targetId = Array.from(
      { length: options.engines },
      (_, i) => `e${(i + nextEngine) % options.engines}`,
    ).find((id) => !excluded.includes(id));
    deliver(
      entry,
      targetId === undefined
        ? {
            type: 'request.refused',
            requestId,
            reason: 'targetsRefused',
            retryAfterMs: undefined,
          }
        : {
            type: 'request.dispatched',
            requestId,
            targetId,
            reservationId: undefined,
          },
    );
  }

  function receive(entry: Entry, fingerprint: string): void {
    requests += 1;
    const requestId = `r${requests}`;
    fingerprints.set(requestId, fingerprint);
    const request = {
      requestId,
      workspace: 'w',
      fingerprint,
      deadlineAtMs: 10_000_000,
      repeatable: true,
    } as RequestInfo;
    deliver(entry, { type: 'request.received', request });
  }

  /** An engine answers all that it runs, or crashes with all of it. */
  function runEngine(targetId: string): void {
    const attempts = running.get(targetId) ?? [];
    running.delete(targetId);
    const crashed = attempts.some((a) => a.fingerprint === POISON);
    crashes += crashed ? 1 : 0;
    attempts.forEach(({ entry, requestId, attemptId }) => {
      if (!crashed) {
        deliver(entry, {
          type: 'attempt.firstToken',
          requestId,
          attemptId,
          targetId,
        });
      }
      deliver(entry, {
        type: 'attempt.ended',
        requestId,
        attemptId,
        targetId,
        end: crashed ? { type: 'cut', reason: 'reset' } : { type: 'done' },
        outputTokens: crashed ? 0 : 1,
        sent: true,
      });
    });
  }

  function judge(pick: number, isStoreUp: boolean): void {
    // Reports of one entry are judged in their order.
    const { entry: reporter } = asked[pick % Math.max(1, asked.length)] ?? {};
    const index = asked.findIndex((other) => other.entry === reporter);
    const [next] = asked.splice(index, index < 0 ? 0 : 1);
    if (next === undefined) return;
    const { entry, effect } = next;
    const { requestId, report } = effect;
    const judged = applySuspectReport(document, report, nowMs);
    if (isStoreUp) document = judged.document;
    deliver(entry, {
      type: 'suspects.judged',
      requestId,
      fingerprint: report.fingerprint,
      verdict: isStoreUp ? judged.verdict : { type: 'storeDown' },
    });
  }

  function learn(entry: Entry): void {
    deliver(entry, {
      type: 'suspects.learned',
      suspects: document.suspects.map(({ fingerprint, blocked, crashes }) => ({
        fingerprint,
        blocked,
        crashes: crashes.length,
        remainingMs: 600_000,
      })),
    });
  }

  function wait(ms: number): void {
    nowMs += ms;
    entries.forEach((entry) => {
      deliver(entry, { type: 'clock.ticked' });
    });
  }

  function act([kind, pick]: Action): void {
    const entry = entries[pick % entries.length];
    if (entry === undefined) return;
    switch (kind) {
      case 'poison':
        receive(entry, POISON);
        return;
      case 'innocent':
        receive(entry, `innocent${requests}`);
        return;
      case 'judge':
        judge(pick, true);
        return;
      case 'storeDown':
        judge(pick, false);
        return;
      case 'engine': {
        const busy = [...running.keys()];
        const targetId = busy[pick % Math.max(1, busy.length)];
        if (targetId !== undefined) runEngine(targetId);
        return;
      }
      case 'learn':
        learn(entry);
        return;
      case 'wait':
        wait(pick === 0 ? 600 : 100);
        return;
    }
  }

  function settle(): void {
    Array.from({ length: SETTLE_TICKS }).forEach(() => {
      while (running.size > 0 || asked.length > 0) {
        while (asked.length > 0) judge(0, true);
        entries.forEach(learn);
        act(['engine', 0]);
      }
      wait(600);
    });
  }

  return {
    act,
    settle,
    crashes: () => crashes,
    ends: (of: 'poison' | 'innocent') =>
      [...fingerprints]
        .filter(([, fingerprint]) => fingerprint.startsWith(of))
        .map(([requestId]) => told.get(requestId)),
  };
}
