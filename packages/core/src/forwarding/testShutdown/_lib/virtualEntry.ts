import { checkGrace } from '../../checkGrace/index.ts';
import { estimateLongestAnswerMs } from '../../engineTimes/index.ts';
import type { GraceQuery } from '../../fitsGrace/index.ts';
import {
  initialDurations,
  reduceDurations,
} from '../../requestDurations/index.ts';
import type { ShutdownBudget } from '../../shutdownBudget/index.ts';
import { initialRoster, reduceRoster } from '../../targetRoster/index.ts';
import type { TargetPark } from './targetPark.ts';
import type { Draft } from './traffic.ts';
import { isDone, type VirtualTarget } from './virtualTarget.ts';

/** How a request ended at an entry. `failed`: a complete response, but it may have run. */
export type Outcome =
  'cut' | 'failed' | 'refused' | 'served' | 'timedOut' | 'unread';

/** A request at an entry. */
export interface OpenRequest extends Draft {
  readonly arrivedAtMs: number;
  /** When its last byte was sent and read. */
  readonly readAtMs: number;
  readonly onEnd: (outcome: Outcome, atMs: number) => void;
  target: VirtualTarget | undefined;
  /** When the last byte of its answer is read by the caller. */
  deliveredAtMs: number | undefined;
}

/** An entry of a fleet. */
export interface VirtualEntry {
  readonly signalledAtMs: () => number | undefined;
  readonly isGone: () => boolean;
  readonly signal: (atMs: number) => void;
  readonly accept: (request: OpenRequest) => void;
  readonly advance: (nowMs: number) => void;
}

/** Options of {@link createVirtualEntry}. */
export interface CreateVirtualEntryOptions {
  readonly budget: ShutdownBudget;
  readonly fits: (query: GraceQuery) => boolean;
  readonly park: TargetPark;
  /** Time until a caller has read the end of an answer. */
  readonly deliveryMs: () => number;
}

/** A request that no target has room for waits for so long. */
const LONGEST_WAIT_MS = 1000;

/** Creates an entry that has seen no request. */
export function createVirtualEntry(
  options: CreateVirtualEntryOptions,
): VirtualEntry {
  const { budget, park } = options;
  let signalledAtMs: number | undefined;
  let isGone = false;
  let hasEnded = false;
  let durations = initialDurations;
  let roster = reduceRoster(initialRoster, {
    type: 'roster.listed',
    atMs: 0,
    targets: park.engines.map(({ id }) => ({
      ...{ id, service: 's', address: '10.0.0.1:80', dataCentre: 'a' },
      ...{ draining: false, slots: 4, bornMs: 1, warmUpLeftMs: 0 },
    })),
  }).state;
  const open = new Set<OpenRequest>();

  function end(request: OpenRequest, outcome: Outcome, nowMs: number): void {
    open.delete(request);
    request.onEnd(outcome, nowMs);
    request.target?.remove(request.work);
  }

  function isTaken(request: OpenRequest, nowMs: number): boolean {
    if (signalledAtMs === undefined) return true;
    const elapsedMs = nowMs - signalledAtMs;
    const { addressesMs, endMs } = budget;
    const { repeat, readAtMs, arrivedAtMs } = request;
    return checkGrace(
      {
        grace: { elapsedMs, leftMs: endMs - elapsedMs, addressesMs },
        ...{ nowMs, readAtMs, repeat, kind: request.class },
        deadlineAtMs: arrivedAtMs + request.waitMs,
      },
      {
        durations,
        modelledMs: () => modelledMs(request, nowMs),
        fits: options.fits,
      },
    ).isTaken;
  }

  function modelledMs(request: OpenRequest, nowMs: number): number | undefined {
    const target = park.targetsFor(request, nowMs)[0];
    const { prompt } = request.class;
    if (target?.cost === undefined || prompt === undefined) return undefined;
    const slowdown = roster.targets.get(target.id)?.slowdown ?? 1;
    const writers = target.running().filter((one) => one.readLeftMs <= 0);
    const prefillMs = [...target.running(), request.work].reduce(
      (sum, { readLeftMs }) => sum + Math.max(readLeftMs, 0),
      0,
    );
    return estimateLongestAnswerMs(target.cost, {
      ...prompt,
      ...{ firstEventMs: prefillMs * slowdown, slowdown },
      decodingRequests: writers.length,
      contextTokens: writers.reduce((sum, one) => sum + one.contextTokens, 0),
    });
  }

  function send(request: OpenRequest, nowMs: number): void {
    if (!isTaken(request, nowMs)) {
      end(request, 'refused', nowMs);
      return;
    }
    const target = park.targetsFor(request, nowMs)[0];
    if (target === undefined) {
      const isQueueOver =
        signalledAtMs !== undefined && nowMs > signalledAtMs + budget.queueMs;
      const isTooLate = nowMs > request.readAtMs + LONGEST_WAIT_MS;
      if (isQueueOver || isTooLate) end(request, 'refused', nowMs);
      return;
    }
    request.target = target;
    target.add(request.work);
  }

  function answered(request: OpenRequest, nowMs: number): void {
    const { target } = request;
    target?.remove(request.work);
    request.deliveredAtMs = nowMs + options.deliveryMs();
    const elapsedMs = nowMs - request.arrivedAtMs;
    durations = reduceDurations(durations, {
      type: 'durations.answered',
      ...{ ...request.class, atMs: nowMs, elapsedMs },
    }).state;
    if (target?.cost === undefined) return;
    const ratio = park.slowdownOf(target, nowMs);
    roster = reduceRoster(roster, {
      type: 'roster.succeeded',
      ...{ atMs: nowMs, id: target.id, ratio },
    }).state;
  }

  function advanceRequest(request: OpenRequest, nowMs: number): void {
    const { deliveredAtMs, readAtMs, arrivedAtMs, target, work } = request;
    if (deliveredAtMs !== undefined) {
      if (nowMs >= deliveredAtMs) end(request, 'served', nowMs);
    } else if (nowMs >= readAtMs) {
      if (nowMs >= arrivedAtMs + request.waitMs) {
        end(request, 'timedOut', nowMs);
      } else if (target === undefined) send(request, nowMs);
      else if (isDone(work)) answered(request, nowMs);
    }
  }

  /** Gives each open request a complete response, unless its stream has begun. */
  function endOpen(nowMs: number): void {
    hasEnded = true;
    [...open]
      .filter((one) => one.readAtMs <= nowMs && one.deliveredAtMs === undefined)
      .forEach((one) => {
        const hasBegun = one.repeat === 'stream' && one.work.readLeftMs <= 0;
        const complete = one.target === undefined ? 'refused' : 'failed';
        end(one, hasBegun ? 'cut' : complete, nowMs);
      });
  }

  function exit(nowMs: number): void {
    isGone = true;
    [...open].forEach((one) => {
      end(one, one.readAtMs > nowMs ? 'unread' : 'cut', nowMs);
    });
  }

  return {
    signalledAtMs: () => signalledAtMs,
    isGone: () => isGone,
    signal(atMs) {
      signalledAtMs = atMs;
    },
    accept(request) {
      open.add(request);
    },
    advance(nowMs) {
      if (isGone) return;
      [...open].forEach((request) => {
        advanceRequest(request, nowMs);
      });
      if (signalledAtMs === undefined) return;
      const elapsedMs = nowMs - signalledAtMs;
      if (!hasEnded && elapsedMs >= budget.endMs) endOpen(nowMs);
      const isIdle = open.size === 0 && elapsedMs >= budget.idleMs;
      const isRead = open.size === 0 && hasEnded;
      if (isIdle || isRead || elapsedMs >= budget.exitMs) exit(nowMs);
    },
  };
}
