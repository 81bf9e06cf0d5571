import type { EventBase } from '../../events/index.ts';
import {
  limitKeyOf,
  noteLimitDemand,
  reportLimits,
  takeShare,
  tokensOf,
  waitingFor,
} from './limited.ts';
import { andThen, enter, refuse, withEffects } from './requests.ts';
import type { RoutedRequest, RoutingState, RoutingStep } from './types.ts';

/** Time for which a request waits for a share of its limit. */
const LIMIT_WAIT_MS = 1_000;

/** Requests of one limit that may wait at an entry. */
const MAX_LIMIT_WAITING = 64;

/** Time after which a refused caller may find a share. */
const LIMITED_RETRY_AFTER_MS = 1_000;

/** Sends or queues a request that has passed its limit. */
export type Proceed = (
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
) => RoutingStep;

/** Lets a new request pass its limit, queues it for a share, or refuses it. */
export function passLimit(
  state: RoutingState,
  stamp: EventBase,
  routed: RoutedRequest,
  proceed: Proceed,
): RoutingStep {
  const limitKey = limitKeyOf(state, routed.request);
  if (limitKey === undefined) return proceed(state, stamp, routed);
  const noted = noteLimitDemand(
    state,
    stamp,
    limitKey,
    tokensOf(routed.request),
  );
  const limited = { ...routed, limitKey };
  const waiting = waitingFor(noted, limitKey).length;
  const taken = waiting === 0 ? takeShare(noted, stamp, limited) : undefined;
  if (taken) return proceed(taken, stamp, limited);
  if (waiting >= MAX_LIMIT_WAITING) return refuseLimited(noted, stamp, limited);
  const queued = enter(noted, limited, { phase: 'limited' }, stamp.atMs);
  return reportLimits(queued, stamp);
}

/** Lets waiting requests pass in order, and refuses those that waited long. */
export function retryLimited(
  state: RoutingState,
  stamp: EventBase,
  proceed: Proceed,
): RoutingStep {
  const limited = [...state.requests.values()].filter(
    ({ phase }) => phase === 'limited',
  );
  const used = new Set<string>();
  return limited.reduce<RoutingStep>(
    (done, routed) =>
      andThen(done, (current) => {
        const key = routed.limitKey ?? '';
        const taken = used.has(key)
          ? undefined
          : takeShare(current, stamp, routed);
        if (taken)
          return proceed(taken, stamp, { ...routed, phase: 'waiting' });
        used.add(key);
        return stamp.atMs - routed.phaseSinceMs < LIMIT_WAIT_MS
          ? withEffects(current, [])
          : refuseLimited(current, stamp, routed);
      }),
    withEffects(state, []),
  );
}

function refuseLimited(
  state: RoutingState,
  stamp: EventBase,
  { request }: RoutedRequest,
): RoutingStep {
  return refuse(state, stamp, {
    requestId: request.requestId,
    reason: 'limited',
    retryAfterMs: LIMITED_RETRY_AFTER_MS,
  });
}
