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
const CRASHING_FINGERPRINT = 'poison';

/** Ticks after which no request is open any more. */
const SETTLE_TICKS = 60;

/** An action; the number selects the entry, report or engine it applies to. */
export type Action = readonly [
  kind:
    | 'poison'
    | 'innocent'
    | 'applyReport'
    | 'storeDown'
    | 'runEngine'
    | 'deliverSuspects'
    | 'wait',
  pick: number,
];

interface Entry {
  state: State;
  readonly index: number;
}

interface RunningAttempt {
  readonly entry: Entry;
  readonly requestId: string;
  readonly attemptId: string;
  readonly fingerprint: string;
}

/**
 * Simulates entries with the requests and suspects slices, and engines that
 * crash when they run a request with one certain fingerprint.
 */
export function createSuspectsFleet(options: {
  readonly entries: number;
  readonly engines: number;
}) {
  const entries = Array.from(
    { length: options.entries },
    (_, index): Entry => ({ index, state: initialStateOf(slices) }),
  );
  const running = new Map<string, RunningAttempt[]>();
  const pendingReports: { entry: Entry; effect: SuspectsEffect }[] = [];
  const endTypes = new Map<string, string>();
  const fingerprints = new Map<string, string>();
  let document: SuspectsDocument = { suspects: [] };
  let crashCount = 0;
  let requestCount = 0;
  let nextEngine = 0;
  let nowMs = 0;

  function deliverEvent(entry: Entry, event: Unstamped<Event>): void {
    const stamped = { ...event, atMs: nowMs, random: 0.5 } as Event;
    const step = reduce(entry.state, stamped);
    entry.state = step.state;
    step.effects.forEach((effect) => {
      runEffect(entry, effect);
    });
  }

  function runEffect(entry: Entry, effect: Effect): void {
    switch (effect.type) {
      case 'requests.send': {
        const { requestId, attemptId, targetId } = effect;
        const fingerprint = fingerprints.get(requestId) ?? '';
        const attempt = { entry, requestId, attemptId, fingerprint };
        running.set(targetId, [...(running.get(targetId) ?? []), attempt]);
        return;
      }
      case 'requests.queryAttempt':
        deliverEvent(entry, {
          type: 'attempt.reported',
          requestId: effect.requestId,
          attemptId: effect.attemptId,
          report: { type: 'absent' },
        });
        return;
      case 'requests.finish':
        endTypes.set(effect.requestId, effect.end.type);
        return;
      case 'suspects.announce':
        pendingReports.push({ entry, effect });
        return;
      case 'raise':
        if (effect.event.type === 'request.arrived') {
          routeRequest(entry, effect.event.request.requestId, []);
        }
        if (effect.event.type === 'request.retryWanted') {
          const { requestId, excludedTargetIds } = effect.event;
          routeRequest(entry, requestId, excludedTargetIds);
        }
        return;
      default:
    }
  }

  /** Replaces routing: picks engines round robin, skipping excluded ones. */
  function routeRequest(
    entry: Entry,
    requestId: string,
    excluded: readonly string[],
  ): void {
    nextEngine += 1;
    const targetId = Array.from(
      { length: options.engines },
      (_, i) => `e${(i + nextEngine) % options.engines}`,
    ).find((id) => !excluded.includes(id));
    deliverEvent(
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

  function receiveRequest(entry: Entry, fingerprint: string): void {
    requestCount += 1;
    const requestId = `r${requestCount}`;
    fingerprints.set(requestId, fingerprint);
    const request = {
      requestId,
      workspace: 'w',
      fingerprint,
      deadlineAtMs: 10_000_000,
      repeatable: true,
    } as RequestInfo;
    deliverEvent(entry, { type: 'request.received', request });
  }

  /** Answers every attempt that an engine runs, or crashes the engine. */
  function runEngine(targetId: string): void {
    const attempts = running.get(targetId) ?? [];
    running.delete(targetId);
    const crashed = attempts.some(
      (a) => a.fingerprint === CRASHING_FINGERPRINT,
    );
    crashCount += crashed ? 1 : 0;
    attempts.forEach(({ entry, requestId, attemptId }) => {
      if (!crashed) {
        deliverEvent(entry, {
          type: 'attempt.firstToken',
          requestId,
          attemptId,
          targetId,
        });
      }
      deliverEvent(entry, {
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

  function applyNextReport(pick: number, isStoreUp: boolean): void {
    // The reports of one entry are applied in the order they were sent.
    const { entry: reporter } =
      pendingReports[pick % Math.max(1, pendingReports.length)] ?? {};
    const index = pendingReports.findIndex((other) => other.entry === reporter);
    const [next] = pendingReports.splice(index, index < 0 ? 0 : 1);
    if (next === undefined) return;
    const { entry, effect } = next;
    const { requestId, report } = effect;
    const decision = applySuspectReport(document, report, nowMs);
    if (isStoreUp) document = decision.document;
    deliverEvent(entry, {
      type: 'suspects.verdictReceived',
      requestId,
      fingerprint: report.fingerprint,
      verdict: isStoreUp ? decision.verdict : { type: 'storeDown' },
    });
  }

  function deliverSuspects(entry: Entry): void {
    deliverEvent(entry, {
      type: 'suspects.loaded',
      suspects: document.suspects.map(({ fingerprint, blocked, crashes }) => ({
        fingerprint,
        blocked,
        crashes: crashes.length,
        remainingMs: 600_000,
      })),
    });
  }

  function advanceTime(ms: number): void {
    nowMs += ms;
    entries.forEach((entry) => {
      deliverEvent(entry, { type: 'clock.ticked' });
    });
  }

  function act([kind, pick]: Action): void {
    const entry = entries[pick % entries.length];
    if (entry === undefined) return;
    switch (kind) {
      case 'poison':
        receiveRequest(entry, CRASHING_FINGERPRINT);
        return;
      case 'innocent':
        receiveRequest(entry, `innocent${requestCount}`);
        return;
      case 'applyReport':
        applyNextReport(pick, true);
        return;
      case 'storeDown':
        applyNextReport(pick, false);
        return;
      case 'runEngine': {
        const busy = [...running.keys()];
        const targetId = busy[pick % Math.max(1, busy.length)];
        if (targetId !== undefined) runEngine(targetId);
        return;
      }
      case 'deliverSuspects':
        deliverSuspects(entry);
        return;
      case 'wait':
        advanceTime(pick === 0 ? 600 : 100);
        return;
    }
  }

  function settle(): void {
    Array.from({ length: SETTLE_TICKS }).forEach(() => {
      while (running.size > 0 || pendingReports.length > 0) {
        while (pendingReports.length > 0) applyNextReport(0, true);
        entries.forEach(deliverSuspects);
        act(['runEngine', 0]);
      }
      advanceTime(600);
    });
  }

  return {
    act,
    settle,
    crashes: () => crashCount,
    ends: (of: 'poison' | 'innocent') =>
      [...fingerprints]
        .filter(([, fingerprint]) => fingerprint.startsWith(of))
        .map(([requestId]) => endTypes.get(requestId)),
  };
}
