import type { Target } from '@endivegate/contracts';
import {
  initialRootState,
  reduce,
  type RequestInfo,
  type RootEffect,
  type RootEvent,
  type RootState,
} from '@endivegate/core';
import type { Figures } from '../figures.ts';
import { usedHeapBytes } from './heap.ts';

const MODELS = 18;
const REQUESTS = 1_500;

/** Simulated time between two arrivals: 23 requests per second and entry. */
const INTER_ARRIVAL_MS = 1_000 / 23;

function target(index: number): Target {
  return {
    targetId: `engine-${index}`,
    targetKind: 'engine',
    url: `http://10.0.0.1:${8_000 + index}`,
    region: 'r',
    dataCentre: `centre-${index % 7}`,
    serves: [`model-${index % MODELS}`],
    kvCapacityTokens: 1_000_000,
    checksFencing: true,
    hasKeyLookup: false,
    leaving: false,
  };
}

function requestInfo(index: number, atMs: number): RequestInfo {
  const hash = (block: number) => `p${(index + block) % 500}-${block}`;
  return {
    requestId: `r${index}`,
    workspace: `workspace-${index % 40}`,
    service: `model-${index % MODELS}`,
    kind: 'chat',
    promptTokens: 2_000,
    maxOutputTokens: 260,
    lengthClass: 'short',
    arrivedAtMs: atMs,
    deadlineAtMs: atMs + 600_000,
    priority: 5,
    fingerprint: `f${index}`,
    prefixHashes: Array.from({ length: 8 }, (_, block) => hash(block)),
    idempotencyKey: undefined,
    repeatable: true,
  };
}

interface OpenAttempt {
  readonly requestId: string;
  readonly attemptId: string;
  readonly targetId: string;
}

/**
 * Measures the root reducer over complete request lifecycles, with a constant
 * number of requests open.
 */
export function measureRequests(options: {
  readonly targets: number;
  readonly openRequests: number;
}): Figures {
  let nowMs = 1;
  let state: RootState = initialRootState;
  let events = 0;
  let attempts: OpenAttempt[] = [];
  let prefilling: OpenAttempt[] = [];
  let refused = 0;

  function dispatch(event: object): void {
    events += 1;
    const step = reduce(state, {
      ...event,
      atMs: nowMs,
      random: Math.random(),
    } as RootEvent);
    state = step.state;
    step.effects.forEach(recordEffect);
  }

  function recordEffect(effect: RootEffect): void {
    if (effect.type === 'requests.send') {
      const { requestId, attemptId, targetId } = effect;
      attempts.push({ requestId, attemptId, targetId });
      prefilling.push({ requestId, attemptId, targetId });
    }
    if (effect.type === 'requests.finish' && effect.ran === 'no') refused += 1;
  }

  function endOldest(): void {
    const [attempt, ...others] = attempts;
    if (!attempt) return;
    attempts = others;
    dispatch({
      type: 'attempt.ended',
      ...attempt,
      end: { type: 'done' },
      outputTokens: 260,
      sent: true,
    });
  }

  function receiveRequest(index: number): void {
    nowMs += INTER_ARRIVAL_MS;
    const started = prefilling;
    prefilling = [];
    started.forEach((attempt) => {
      dispatch({ type: 'attempt.firstToken', ...attempt });
    });
    dispatch({ type: 'request.received', request: requestInfo(index, nowMs) });
    if (index % 2 === 0) dispatch({ type: 'clock.ticked' });
    while (attempts.length > options.openRequests) endOldest();
  }

  dispatch({
    type: 'entry.started',
    self: {
      entryId: 'a',
      incarnation: 1,
      region: 'r',
      dataCentre: 'centre-0',
      host: 'h',
      httpPort: 1,
      peerPort: 1,
    },
  });
  dispatch({
    type: 'targets.listed',
    targets: Array.from({ length: options.targets }, (_, index) =>
      target(index),
    ),
  });
  const empty = usedHeapBytes();
  for (let index = 0; index < options.openRequests; index += 1)
    receiveRequest(index);
  const stateBytes = usedHeapBytes() - empty;
  let index = options.openRequests;
  const warmUntil = index + 300;
  for (; index < warmUntil; index += 1) receiveRequest(index);
  events = 0;
  const start = process.cpuUsage();
  for (const until = index + REQUESTS; index < until; index += 1)
    receiveRequest(index);
  const { user, system } = process.cpuUsage(start);
  return {
    stateBytes,
    cpuUsPerRequest: (user + system) / REQUESTS,
    cpuUsPerEvent: (user + system) / events,
    openAtEnd: attempts.length,
    refused,
  };
}
