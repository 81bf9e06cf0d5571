import {
  lengthClassOf,
  type EntryAddress,
  type Ran,
  type TableRow,
  type Target,
} from '@endivegate/contracts';
import {
  countHomes,
  createReduce,
  initialStateOf,
  pickHomes,
  type RequestEnd,
  type RequestInfo,
  type RootEffect,
  type RootEvent,
  type RootState,
  type SlicesByName,
} from '@endivegate/core';
import { createRandom } from '@endivegate/stand-ins';
import TinyQueue from 'tinyqueue';
import { MODEL, shareOf, type TraceRequest } from '../makeTrace/index.ts';
import { createEngines } from './_lib/createEngines.ts';

/** A policy to measure, given by the reducer slices of an entry. */
export interface Policy {
  readonly name: string;
  readonly slices: SlicesByName;
  /** Priority that is passed to the engine. */
  readonly priorityOf: (request: RequestInfo) => number;
  /**
   * Whether the replay reserves engine memory for prompts that exceed one
   * engine.
   */
  readonly replayReservesMemory: boolean;
}

/** Outcome of a request. */
export interface Outcome {
  readonly request: TraceRequest;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly firstTokenAtMs: number | undefined;
  readonly endedAtMs: number | undefined;
  readonly end: RequestEnd | undefined;
  readonly ran: Ran | undefined;
}

/** Result of a replay. */
export interface ReplayResult {
  readonly outcomes: readonly Outcome[];
  /**
   * KV tokens still in use or reserved on all engines at the end of the replay.
   */
  readonly kvLeftTokens: number;
  readonly peerMessages: number;
  readonly loadReads: number;
}

/** Options of {@link replay}. */
export interface ReplayOptions {
  readonly policy: Policy;
  readonly rows: readonly TableRow[];
  readonly engines: number;
  readonly entries: number;
  readonly dataCentres: number;
  readonly seed: number;
}

/** One-way network delay between any two processes. */
const NETWORK_MS = 0.5;
const TICK_MS = 100;
const SERVICE_CALL_MS = 30;
const KV_CAPACITY_TOKENS = 400_000;

type Unstamped<T> = T extends unknown ? Omit<T, 'atMs' | 'random'> : never;

/**
 * Replays a trace in simulated time, with engine models and the entries'
 * production reducers.
 *
 * @param trace - Requests by time of arrival.
 * @param options - Policy, fleet and seed.
 * @returns The outcome of every request, and counters.
 */
export function replay(
  trace: readonly TraceRequest[],
  options: ReplayOptions,
): ReplayResult {
  const { policy } = options;
  const random = createRandom(options.seed);
  const eventQueue = new TinyQueue<{
    atMs: number;
    order: number;
    run: () => void;
  }>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
  const addresses = addressesOf(options);
  const targets = targetsOf(options);
  const reduce = createReduce<RootState, RootEvent, RootEffect>(policy.slices);
  const states = addresses.map(
    () => initialStateOf(policy.slices) as RootState,
  );
  const requestInfos = new Map<string, RequestInfo>();
  const outcomes = new Map<string, Outcome>();
  let nowMs = 0;
  let order = 0;
  let open = 0;
  let peerMessages = 0;
  let loadReads = 0;

  const after = (delayMs: number, run: () => void): void => {
    order += 1;
    eventQueue.push({ atMs: nowMs + delayMs, order, run });
  };

  const engines = createEngines({
    engineIds: targets.filter(isEngine).map((target) => target.targetId),
    kvCapacityTokens: KV_CAPACITY_TOKENS,
    replayReservesMemory: policy.replayReservesMemory,
    seed: options.seed,
    now: () => nowMs,
    after,
    dispatch: (entry, event) => {
      after(NETWORK_MS, () => {
        dispatch(entry, event);
      });
    },
  });

  function dispatch(entry: number, event: Unstamped<RootEvent>): void {
    const stamped = { ...event, atMs: nowMs, random: random() };
    recordFirstToken(stamped);
    const step = reduce(states[entry]!, stamped);
    states[entry] = step.state;
    step.effects.forEach((effect) => {
      runEffect(entry, effect);
    });
  }

  function recordFirstToken(event: RootEvent): void {
    if (event.type !== 'attempt.firstToken') return;
    const outcome = outcomes.get(event.requestId)!;
    if (outcome.firstTokenAtMs !== undefined) return;
    outcomes.set(event.requestId, { ...outcome, firstTokenAtMs: nowMs });
  }

  function finish(effect: RootEffect & { type: 'requests.finish' }): void {
    const outcome = outcomes.get(effect.requestId)!;
    if (outcome.end === undefined) open -= 1;
    const { ran, end } = effect;
    outcomes.set(effect.requestId, { ...outcome, ran, end, endedAtMs: nowMs });
  }

  function runEffect(entry: number, effect: RootEffect): void {
    switch (effect.type) {
      case 'requests.finish':
        finish(effect);
        return;
      case 'requests.send':
        send(entry, effect);
        return;
      case 'requests.cancel':
        after(NETWORK_MS, () => {
          engines.cancel(effect.targetId, effect.attemptId);
        });
        return;
      case 'routing.readLoad': {
        const { targetId } = effect;
        loadReads += 1;
        after(2 * NETWORK_MS, () => {
          const load = engines.load(targetId);
          dispatch(entry, { type: 'routing.loadRead', targetId, load });
        });
        return;
      }
      case 'routing.reserve': {
        const { requestId, targetId } = effect;
        after(2 * NETWORK_MS, () => {
          const granted = engines.reserve(targetId, effect);
          const reply = {
            type: 'routing.reserved',
            requestId,
            granted,
          } as const;
          dispatch(entry, { ...reply, targetId });
        });
        return;
      }
      case 'routing.freeReservation':
        after(NETWORK_MS, () => {
          engines.free(effect.targetId, effect.reservationId);
        });
        return;
      case 'routing.sendPeer':
        sendPeer(entry, effect);
        return;
      default:
        return;
    }
  }

  function sendPeer(
    entry: number,
    { toEntryId, message }: RootEffect & { type: 'routing.sendPeer' },
  ): void {
    const to = addresses.findIndex((one) => one.entryId === toEntryId);
    const fromEntryId = addresses[entry]!.entryId;
    peerMessages += 1;
    after(NETWORK_MS, () => {
      dispatch(to, { type: 'routing.peerReceived', fromEntryId, message });
    });
  }

  function send(
    entry: number,
    effect: RootEffect & { type: 'requests.send' },
  ): void {
    const { requestId, attemptId, targetId } = effect;
    const request = requestInfos.get(requestId)!;
    if (request.service !== MODEL) {
      after(SERVICE_CALL_MS, () => {
        const ids = { requestId, attemptId, targetId };
        dispatch(entry, { type: 'attempt.firstToken', ...ids });
        dispatch(entry, {
          type: 'attempt.ended',
          ...ids,
          end: { type: 'done' },
          outputTokens: 1,
          sent: true,
        });
      });
      return;
    }
    after(NETWORK_MS, () => {
      engines.submit(entry, targetId, {
        requestId,
        attemptId,
        promptTokens: request.promptTokens,
        maxOutputTokens: request.maxOutputTokens,
        outputTokens: outcomes.get(requestId)!.request.outputTokens,
        priority: policy.priorityOf(request),
        timeoutMs: effect.timeoutMs,
        reservationId: effect.reservationId,
        prefixHashes: request.prefixHashes,
      });
    });
  }

  function receiveRequest(traced: TraceRequest): void {
    const row = options.rows.find(
      (one) => one.workspace === traced.workspace && one.kind === traced.kind,
    );
    const info: RequestInfo = {
      requestId: traced.requestId,
      workspace: traced.workspace,
      service: traced.service,
      kind: traced.kind,
      promptTokens: traced.promptTokens,
      maxOutputTokens: traced.maxOutputTokens,
      lengthClass: lengthClassOf(traced.promptTokens),
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + (row?.deadlineMs ?? 60_000),
      priority: row?.priority ?? 5,
      fingerprint: traced.requestId,
      prefixHashes: traced.prefixHashes,
      idempotencyKey: undefined,
      repeatable: true,
    };
    requestInfos.set(traced.requestId, info);
    outcomes.set(traced.requestId, {
      request: traced,
      arrivedAtMs: nowMs,
      deadlineAtMs: info.deadlineAtMs,
      firstTokenAtMs: undefined,
      endedAtMs: undefined,
      end: undefined,
      ran: undefined,
    });
    open += 1;
    dispatch(homeOf(traced), { type: 'request.received', request: info });
  }

  function homeOf(traced: TraceRequest): number {
    const count = countHomes(shareOf(traced.workspace), addresses.length);
    const homes = pickHomes(traced.workspace, addresses, { count });
    const home = homes[Math.floor(traced.callerPoint * homes.length)]!;
    return addresses.indexOf(home);
  }

  function start(entry: number): void {
    dispatch(entry, { type: 'entry.started', self: addresses[entry]! });
    dispatch(entry, {
      type: 'members.changed',
      live: addresses,
      leaving: [],
      dead: [],
    });
    dispatch(entry, { type: 'targets.changed', targets });
    dispatch(entry, { type: 'table.installed', number: 1, rows: options.rows });
    tick(entry);
  }

  function tick(entry: number): void {
    dispatch(entry, { type: 'clock.ticked' });
    if (open > 0 || nowMs < lastArrivalMs) {
      after(TICK_MS, () => {
        tick(entry);
      });
    }
  }

  const lastArrivalMs = trace.at(-1)?.atMs ?? 0;
  addresses.forEach((_, entry) => {
    after((TICK_MS * entry) / addresses.length, () => {
      start(entry);
    });
  });
  trace.forEach((traced) => {
    after(TICK_MS + traced.atMs, () => {
      receiveRequest(traced);
    });
  });
  for (let next = eventQueue.pop(); next; next = eventQueue.pop()) {
    nowMs = next.atMs;
    next.run();
  }
  return {
    outcomes: [...outcomes.values()],
    kvLeftTokens: engines.usedKvTokens(),
    peerMessages,
    loadReads,
  };
}

function isEngine(target: Target): boolean {
  return target.targetKind === 'engine';
}

function addressesOf(options: ReplayOptions): readonly EntryAddress[] {
  return Array.from({ length: options.entries }, (_, n) => ({
    entryId: `entry-${n}`,
    incarnation: 1,
    region: 'region',
    dataCentre: `dc-${n % options.dataCentres}`,
    host: '127.0.0.1',
    httpPort: 0,
    peerPort: 0,
  }));
}

function targetsOf(options: ReplayOptions): readonly Target[] {
  const target = {
    url: 'http://127.0.0.1:1',
    region: 'region',
    checksFencing: true,
    hasKeyLookup: true,
    leaving: false,
  };
  const engines = Array.from({ length: options.engines }, (_, n) => ({
    ...target,
    targetId: `engine-${String(n).padStart(2, '0')}`,
    targetKind: 'engine' as const,
    dataCentre: `dc-${n % options.dataCentres}`,
    serves: [MODEL],
    kvCapacityTokens: KV_CAPACITY_TOKENS,
  }));
  const services = Array.from({ length: 3 }, (_, n) => ({
    ...target,
    targetId: `workshop-${n}`,
    targetKind: 'service' as const,
    dataCentre: `dc-${n % options.dataCentres}`,
    serves: ['workshop'],
    kvCapacityTokens: 0,
  }));
  return [...engines, ...services];
}
