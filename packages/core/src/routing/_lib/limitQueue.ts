import type { EventBase } from '../../events/index.ts';
import {
  limitKeyOf,
  recordLimitDemand,
  reportLimits,
  acquireShare,
  tokensOf,
  waitingFor,
} from './limitUse.ts';
import { andThen, enterPhase, refuse, withEffects } from './routedRequests.ts';
import type { RoutedRequest, RoutingState, RoutingStep } from './types.ts';

/** Longest time that a request waits for a share of its limit. */
const MAX_LIMIT_WAIT_MS = 1_000;

/** Largest number of requests that may wait at an entry for one limit. */
const MAX_WAITING_PER_LIMIT = 64;

/** Retry delay reported to a caller that is refused by a limit. */
const LIMITED_RETRY_AFTER_MS = 1_000;

/** Sends or queues a request that its limit admits. */
export type SendOrQueue = (
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
) => RoutingStep;

/**
 * Admits a new request under its limit, queues it for a share, or refuses it.
 */
export function applyLimit(
  state: RoutingState,
  eventBase: EventBase,
  routed: RoutedRequest,
  sendOrQueue: SendOrQueue,
): RoutingStep {
  const limitKey = limitKeyOf(state, routed.request);
  if (limitKey === undefined) return sendOrQueue(state, eventBase, routed);
  const recorded = recordLimitDemand(
    state,
    eventBase,
    limitKey,
    tokensOf(routed.request),
  );
  const limited = { ...routed, limitKey };
  const waiting = waitingFor(recorded, limitKey).length;
  const taken =
    waiting === 0 ? acquireShare(recorded, eventBase, limited) : undefined;
  if (taken) return sendOrQueue(taken, eventBase, limited);
  if (waiting >= MAX_WAITING_PER_LIMIT)
    return refuseLimited(recorded, eventBase, limited);
  const queued = enterPhase(
    recorded,
    limited,
    { phase: 'limited' },
    eventBase.atMs,
  );
  return reportLimits(queued, eventBase);
}

/** Admits waiting requests in order and refuses those that waited too long. */
export function drainLimitQueues(
  state: RoutingState,
  eventBase: EventBase,
  sendOrQueue: SendOrQueue,
): RoutingStep {
  const limited = [...state.requests.values()].filter(
    ({ phase }) => phase === 'limited',
  );
  const exhausted = new Set<string>();
  return limited.reduce<RoutingStep>(
    (done, routed) =>
      andThen(done, (current) => {
        const key = routed.limitKey ?? '';
        const taken = exhausted.has(key)
          ? undefined
          : acquireShare(current, eventBase, routed);
        if (taken)
          return sendOrQueue(taken, eventBase, { ...routed, phase: 'waiting' });
        exhausted.add(key);
        return eventBase.atMs - routed.phaseSinceMs < MAX_LIMIT_WAIT_MS
          ? withEffects(current, [])
          : refuseLimited(current, eventBase, routed);
      }),
    withEffects(state, []),
  );
}

function refuseLimited(
  state: RoutingState,
  eventBase: EventBase,
  { request }: RoutedRequest,
): RoutingStep {
  return refuse(state, eventBase, {
    requestId: request.requestId,
    reason: 'limited',
    retryAfterMs: LIMITED_RETRY_AFTER_MS,
  });
}
