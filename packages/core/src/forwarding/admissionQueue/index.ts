import type { Step } from '../../step/index.ts';
import { chargeOf, costOfDelayPolicy, weightOf } from './_lib/policies.ts';
import type {
  AdmissionQueueState,
  QueueAhead,
  QueueCapacity,
  QueuedRequest,
  QueuePolicy,
  QueueStep,
} from './_lib/types.ts';

export {
  baselinePolicies,
  byArrival,
  byCostOfDelay,
  byDeadline,
  chargeOf,
  costOfDelayPolicy,
} from './_lib/policies.ts';
export type {
  AdmissionQueueState,
  CompareQueued,
  QueueAhead,
  QueueCapacity,
  QueuedRequest,
  QueuePolicy,
  QueueRefusalReason,
  QueueStep,
} from './_lib/types.ts';

/** Events of the queue. */
export type AdmissionQueueEvent =
  | {
      readonly type: 'admissionQueue.queued';
      readonly request: QueuedRequest;
    }
  /** A request starts, whether or not it waited. */
  | {
      readonly type: 'admissionQueue.started';
      readonly request: QueuedRequest;
    }
  /** A request was refused, or its caller has left. */
  | { readonly type: 'admissionQueue.removed'; readonly id: string };

/** When and under which conditions the queue is looked at. */
export interface QueueView {
  readonly nowMs: number;
  readonly capacity: QueueCapacity;
}

/** What becomes of a request that arrives. */
export type QueueOffer =
  | QueueStep
  /** It waits, instead of `evicted` if the queue is full. */
  | { readonly type: 'wait'; readonly evicted: readonly QueuedRequest[] };

/** Queue before the first request. */
export const initialAdmissionQueue: AdmissionQueueState = {
  waiting: [],
  paidUntilByWorkspace: new Map(),
  virtualMs: 0,
};

const NONE_AHEAD: QueueAhead = { requests: 0, memoryTokens: 0 };

/**
 * Tracks the requests that wait for capacity, and what each workspace has used.
 *
 * Service is counted by start-time fair queueing: a workspace that has not used its
 * share gains nothing by it, and one that used more than its share while nobody
 * waited owes nothing.
 *
 * @param state - Current queue.
 * @param event - The event to apply.
 * @returns The new queue, without effects.
 *
 * @example
 * reduceAdmissionQueue(state, { type: 'admissionQueue.removed', id: 'a1' });
 */
export function reduceAdmissionQueue(
  state: AdmissionQueueState,
  event: AdmissionQueueEvent,
): Step<AdmissionQueueState, never> {
  switch (event.type) {
    case 'admissionQueue.queued':
      return {
        state: { ...state, waiting: [...state.waiting, event.request] },
        effects: [],
      };
    case 'admissionQueue.removed':
      return { state: forgetIfIdle(without(state, event.id)), effects: [] };
    case 'admissionQueue.started':
      return {
        state: forgetIfIdle(
          charge(without(state, event.request.id), event.request),
        ),
        effects: [],
      };
  }
}

/**
 * Decides whether a request that arrives starts, waits or is refused at once. If
 * others wait already, it waits with them, and {@link nextQueueStep} decides.
 *
 * @param state - Current queue.
 * @param request - The request.
 * @param view - Time and capacity.
 * @param policy - How requests compete.
 * @returns What becomes of it.
 *
 * @example
 * decideQueueOffer(state, request, view).type; // 'start'
 */
export function decideQueueOffer(
  state: AdmissionQueueState,
  request: QueuedRequest,
  view: QueueView,
  policy: QueuePolicy = costOfDelayPolicy,
): QueueOffer {
  const { nowMs, capacity } = view;
  if (policy.whenFull === 'start') return { type: 'start', request };
  if (state.waiting.length === 0) {
    if (capacity.fits(request)) return { type: 'start', request };
    const expectedAtMs = capacity.expectedAtMs(request, NONE_AHEAD);
    if (policy.whenFull === 'refuse') {
      return { type: 'refuse', request, reason: 'noRoom', expectedAtMs };
    }
    if (Math.max(expectedAtMs, nowMs) >= request.expiresAtMs) {
      return { type: 'refuse', request, reason: 'tooLate', expectedAtMs };
    }
  }
  return offerPlace(state, request, view, policy);
}

/** Lets a request wait, in place of those that come after it if the queue is full. */
function offerPlace(
  state: AdmissionQueueState,
  request: QueuedRequest,
  { nowMs, capacity }: QueueView,
  policy: QueuePolicy,
): QueueOffer {
  const ordered = inOrder([...state.waiting, request], state, nowMs, policy);
  const bytes = ordered.map((one) => one.bodyBytes);
  const keptCount = ordered.findIndex(
    (_, index) =>
      index >= policy.maxRequests ||
      sum(bytes.slice(0, index + 1)) > policy.maxBytes,
  );
  const evicted = keptCount < 0 ? [] : ordered.slice(keptCount);
  if (!evicted.includes(request)) return { type: 'wait', evicted };
  return {
    type: 'refuse',
    request,
    reason: 'queueFull',
    expectedAtMs: capacity.expectedAtMs(request, aheadOf(state.waiting)),
  };
}

/**
 * Finds the next request to leave the queue. Called until there is none, each time
 * with the capacity that the steps before it left.
 *
 * The first long prompt without room keeps a bounded part of the memory free, which
 * later long prompts leave to it; short prompts keep their lane. A prompt that needs
 * more than that part may be passed over as long as short prompts arrive. A request whose
 * capacity is predicted to come too late is refused without delay, which also
 * releases what was kept free for it.
 *
 * @param state - Current queue.
 * @param view - Time and capacity.
 * @param policy - How requests compete.
 * @returns The step, or undefined if all go on waiting.
 *
 * @example
 * nextQueueStep(state, { nowMs, capacity })?.type; // 'start'
 */
export function nextQueueStep(
  state: AdmissionQueueState,
  { nowMs, capacity }: QueueView,
  policy: QueuePolicy = costOfDelayPolicy,
): QueueStep | undefined {
  const ordered = inOrder(state.waiting, state, nowMs, policy);
  let reservedTokens = 0;
  let ahead = NONE_AHEAD;
  /** Smallest demand without room, by kind of prompt: larger ones have none
   * either, and are not planned. */
  const smallestWithoutRoom = new Map<boolean, number>();
  for (const request of ordered) {
    if (request.expiresAtMs <= nowMs) {
      const expectedAtMs = capacity.expectedAtMs(request, ahead);
      return { type: 'refuse', request, reason: 'expired', expectedAtMs };
    }
    const { isShort, memoryTokens } = request;
    const isKeptBack = !mayUseReserved(request, reservedTokens);
    const isTried =
      memoryTokens >= (smallestWithoutRoom.get(isShort) ?? Infinity);
    if (!isKeptBack && !isTried) {
      if (capacity.fits(request)) return { type: 'start', request };
      smallestWithoutRoom.set(isShort, memoryTokens);
    }
    const expectedAtMs = capacity.expectedAtMs(request, ahead);
    if (expectedAtMs >= request.expiresAtMs) {
      return { type: 'refuse', request, reason: 'tooLate', expectedAtMs };
    }
    if (!policy.overtakes) return undefined;
    if (!isShort && reservedTokens === 0) {
      const maxTokens = capacity.totalMemoryTokens * policy.reservedShare;
      reservedTokens = Math.min(memoryTokens, maxTokens);
    }
    ahead = aheadOf([request], ahead);
  }
  return undefined;

  /** Whether a request may start although memory is kept free for another. */
  function mayUseReserved(request: QueuedRequest, tokens: number): boolean {
    const { isShort, memoryTokens } = request;
    const isInLane =
      isShort &&
      capacity.shortMemoryTokens + memoryTokens <=
        capacity.totalMemoryTokens * policy.shortLaneShare;
    return (
      tokens === 0 ||
      isInLane ||
      capacity.freeMemoryTokens - memoryTokens >= tokens
    );
  }
}

function inOrder(
  waiting: readonly QueuedRequest[],
  state: AdmissionQueueState,
  nowMs: number,
  { compare }: QueuePolicy,
): readonly QueuedRequest[] {
  return waiting.toSorted((a, b) => compare(a, b, { nowMs, state }));
}

function aheadOf(
  requests: readonly QueuedRequest[],
  before: QueueAhead = NONE_AHEAD,
): QueueAhead {
  return {
    requests: before.requests + requests.length,
    memoryTokens:
      before.memoryTokens + sum(requests.map((one) => one.memoryTokens)),
  };
}

function without(state: AdmissionQueueState, id: string): AdmissionQueueState {
  const waiting = state.waiting.filter((one) => one.id !== id);
  return { ...state, waiting };
}

function charge(
  state: AdmissionQueueState,
  request: QueuedRequest,
): AdmissionQueueState {
  const { workspace } = request;
  const paidUntil = state.paidUntilByWorkspace.get(workspace) ?? 0;
  const startMs = Math.max(state.virtualMs, paidUntil);
  const paidUntilMs = startMs + chargeOf(request) / weightOf(request);
  return {
    ...state,
    virtualMs: Math.max(state.virtualMs, startMs),
    paidUntilByWorkspace: new Map(state.paidUntilByWorkspace).set(
      workspace,
      paidUntilMs,
    ),
  };
}

/** Nothing is owed once nobody waits. */
function forgetIfIdle(state: AdmissionQueueState): AdmissionQueueState {
  return state.waiting.length > 0 || state.paidUntilByWorkspace.size === 0
    ? state
    : { ...state, paidUntilByWorkspace: new Map(), virtualMs: 0 };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
