/** Simulated targets and callers, on which policies are compared. */
import {
  type CapacityForecast,
  expectCapacityAtMs,
} from '../capacityForecast/index.ts';
import {
  initialReturnSchedule,
  scheduleReturn,
} from '../returnSchedule/index.ts';
import {
  type AdmissionQueueEvent,
  decideQueueOffer,
  initialAdmissionQueue,
  nextQueueStep,
  type QueueCapacity,
  type QueuedRequest,
  type QueuePolicy,
  reduceAdmissionQueue,
} from './index.ts';

/** A request of a load; its memory is held for `holdMs` from its start. */
export interface LoadRequest {
  readonly id: string;
  readonly workspace: string;
  readonly isShort: boolean;
  readonly arrivesAtMs: number;
  readonly memoryTokens: number;
  readonly prefillMs: number;
  readonly holdMs: number;
  readonly objectiveMs: number;
  readonly patienceMs: number;
}

/** What became of the requests of a load. */
export interface LoadOutcome {
  readonly startedAtMsById: ReadonlyMap<string, number>;
  readonly onTime: readonly LoadRequest[];
  /** Requests whose caller left, and those refused to the end. */
  readonly unserved: readonly LoadRequest[];
  /** Arrivals that targets had no memory or slot for. */
  readonly rejections: number;
  /** Calls of all callers, returns included. */
  readonly calls: number;
  /** Most calls that arrived within 100 ms. */
  readonly largestPeak: number;
}

/** Options of {@link playLoad}. */
export interface PlayLoadOptions {
  readonly policy: QueuePolicy;
  readonly slots: number;
  readonly memoryTokens: number;
  /** How refused callers return: as scheduled, or after a random delay. */
  readonly returns?: 'scheduled' | 'random';
  /** Number uniform in [0, 1). */
  readonly random: () => number;
}

const TICK_MS = 20;
const PEAK_MS = 100;
const MAX_CALLS = 4;
/** Delay that the gateway gives without a queue: 0.8 to 2.3 s. */
const RANDOM_MIN_MS = 800;
const RANDOM_SPREAD_MS = 1500;

interface Running {
  readonly request: LoadRequest;
  readonly endsAtMs: number;
}

/** Plays a load to the end, in steps of a tick. */
export function playLoad(
  load: readonly LoadRequest[],
  options: PlayLoadOptions,
): LoadOutcome {
  const { policy, random, returns = 'scheduled' } = options;
  const byId = new Map(load.map((one) => [one.id, one]));
  const calls = load.map((request) => ({
    request,
    atMs: request.arrivesAtMs,
    number: 1,
  }));
  const callNumbers = new Map<string, number>();
  const callTimes: number[] = [];
  const started = new Map<string, number>();
  const unserved = new Set<string>();
  let running: readonly Running[] = [];
  let queue = initialAdmissionQueue;
  let schedule = initialReturnSchedule;
  let rejections = 0;

  const apply = (event: AdmissionQueueEvent): void => {
    queue = reduceAdmissionQueue(queue, event).state;
  };
  const held = (of: (one: LoadRequest) => boolean = () => true): number =>
    running
      .filter(({ request }) => of(request))
      .reduce((sum, { request }) => sum + request.memoryTokens, 0);
  const forecast = (nowMs: number): CapacityForecast => ({
    nowMs,
    freeSlots: options.slots - running.length,
    freeMemoryTokens: options.memoryTokens - held(),
    ends: running
      .map(({ request, endsAtMs }) => ({ ...request, endsAtMs }))
      .toSorted((a, b) => a.endsAtMs - b.endsAtMs),
    totalSlots: options.slots,
    totalMemoryTokens: options.memoryTokens,
    holdMs: 2000,
    targets: options.slots / 8,
    prefillBacklogMs: 0,
  });
  const hasRoom = ({ memoryTokens }: { memoryTokens: number }): boolean =>
    running.length < options.slots &&
    held() + memoryTokens <= options.memoryTokens;
  const capacityAt = (nowMs: number): QueueCapacity => {
    const expected = forecast(nowMs);
    return {
      totalMemoryTokens: options.memoryTokens,
      freeMemoryTokens: options.memoryTokens - held(),
      shortMemoryTokens: held((one) => one.isShort),
      fits: hasRoom,
      expectedAtMs: (request, ahead) =>
        request.memoryTokens > options.memoryTokens
          ? Infinity
          : expectCapacityAtMs(expected, {
              requests: ahead.requests + 1,
              memoryTokens: ahead.memoryTokens + request.memoryTokens,
            }),
    };
  };
  const comeBack = (request: LoadRequest, nowMs: number): void => {
    const timeLeftMs = request.arrivesAtMs + request.patienceMs - nowMs;
    const number = (callNumbers.get(request.id) ?? 1) + 1;
    callNumbers.set(request.id, number);
    const delayMs =
      returns === 'random'
        ? Math.min(RANDOM_MIN_MS + RANDOM_SPREAD_MS * random(), timeLeftMs / 3)
        : scheduledDelayMs(request, timeLeftMs, nowMs);
    if (number > MAX_CALLS || timeLeftMs <= TICK_MS) unserved.add(request.id);
    else calls.push({ request, atMs: nowMs + delayMs, number });
  };
  const scheduledDelayMs = (
    request: LoadRequest,
    timeLeftMs: number,
    nowMs: number,
  ): number => {
    const result = scheduleReturn(
      schedule,
      {
        ...request,
        valueShare: request.isShort ? 1 : 0.5,
        slackShare: timeLeftMs / request.patienceMs,
        timeLeftMs,
      },
      forecast(nowMs),
      { entries: 1, queuedMemoryTokens: 0, queuedRequests: 0 },
    );
    schedule = result.state;
    return result.retryAfterMs;
  };
  const start = (queued: QueuedRequest, nowMs: number): void => {
    const request = byId.get(queued.id);
    if (request === undefined) throw new Error('unknown request');
    apply({ type: 'admissionQueue.started', request: queued });
    if (!hasRoom(request)) {
      rejections += 1;
      comeBack(request, nowMs);
      return;
    }
    started.set(request.id, nowMs);
    running = [...running, { request, endsAtMs: nowMs + request.holdMs }];
  };
  const refuse = (queued: QueuedRequest, nowMs: number): void => {
    const request = byId.get(queued.id);
    apply({ type: 'admissionQueue.removed', id: queued.id });
    if (request !== undefined) comeBack(request, nowMs);
  };
  const drain = (nowMs: number): void => {
    for (;;) {
      const step = nextQueueStep(
        queue,
        { nowMs, capacity: capacityAt(nowMs) },
        policy,
      );
      if (step === undefined) return;
      if (step.type === 'start') start(step.request, nowMs);
      else refuse(step.request, nowMs);
    }
  };
  const offer = (request: LoadRequest, nowMs: number): void => {
    const queued = toQueued(request, nowMs);
    const decision = decideQueueOffer(
      queue,
      queued,
      { nowMs, capacity: capacityAt(nowMs) },
      policy,
    );
    if (decision.type === 'start') start(queued, nowMs);
    else if (decision.type === 'refuse') refuse(queued, nowMs);
    else {
      apply({ type: 'admissionQueue.queued', request: queued });
      decision.evicted.forEach((one) => {
        refuse(one, nowMs);
      });
    }
  };

  const endsMs = Math.max(
    ...load.map((one) => one.arrivesAtMs + one.patienceMs),
  );
  for (let nowMs = 0; nowMs <= endsMs; nowMs += TICK_MS) {
    running = running.filter((one) => one.endsAtMs > nowMs);
    drain(nowMs);
    const due = calls.filter((call) => call.atMs <= nowMs);
    calls.splice(0, calls.length, ...calls.filter((one) => one.atMs > nowMs));
    due.forEach(({ request }) => {
      callTimes.push(nowMs);
      offer(request, nowMs);
      drain(nowMs);
    });
  }
  const onTime = load.filter((request) => {
    const startedAtMs = started.get(request.id);
    return (
      startedAtMs !== undefined &&
      startedAtMs + request.prefillMs <=
        request.arrivesAtMs + request.objectiveMs + TICK_MS
    );
  });
  return {
    startedAtMsById: started,
    onTime,
    unserved: load.filter((one) => !started.has(one.id)),
    rejections,
    calls: callTimes.length,
    largestPeak: Math.max(
      ...callTimes.map(
        (at) =>
          callTimes.filter((other) => other >= at && other < at + PEAK_MS)
            .length,
      ),
    ),
  };
}

/** Describes a request of a load to the queue. */
export function toQueued(request: LoadRequest, nowMs: number): QueuedRequest {
  const onTimeMs =
    request.arrivesAtMs + request.objectiveMs - request.prefillMs;
  const patienceEndMs =
    request.arrivesAtMs + request.patienceMs - request.prefillMs;
  return {
    ...request,
    priority: 0,
    value: 0.5 + request.memoryTokens / 10_000,
    bodyBytes: 1000,
    queuedAtMs: nowMs,
    latestOnTimeStartMs: onTimeMs,
    // A short prompt that would be late is refused instead.
    expiresAtMs: request.isShort
      ? Math.max(onTimeMs, nowMs + 1)
      : patienceEndMs,
  };
}
