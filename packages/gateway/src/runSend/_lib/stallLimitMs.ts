import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import type { SendPlan } from '../../planSend/index.ts';

/** What decides how long a silence of a target is borne. */
export interface StallQuery {
  readonly route: ForwardingRoute;
  readonly plan: SendPlan;
  /** Whether this send has brought an event. */
  readonly hasBegun: boolean;
  readonly timeLeftMs: number;
}

/** A first event this many times later than predicted is not coming. */
const FIRST_EVENT_FACTOR = 3;

/** Added to it: the time for which work beside a lost engine stalls. */
const FIRST_EVENT_EXTRA_MS = 1500;

/** A pause this many times the route's target has made the stream late. */
const GAP_FACTOR = 2;

const GAP_EXTRA_MS = 500;

/** Share of a plain call's time after which it is tried elsewhere. */
const PLAIN_SHARE = 0.4;

/**
 * Returns how long a target may be silent before the request is sent elsewhere;
 * undefined where it must not be.
 */
export function stallLimitMs(query: StallQuery): number | undefined {
  const { route, plan, hasBegun, timeLeftMs } = query;
  if (route.repeat === 'atMostOnce') return undefined;
  if (route.repeat === 'stream' && !route.resumable) return undefined;
  if (route.repeat === 'idempotent') return timeLeftMs * PLAIN_SHARE;
  return hasBegun
    ? route.gapTargetMs * GAP_FACTOR + GAP_EXTRA_MS
    : (plan.firstEventMs ?? 0) * FIRST_EVENT_FACTOR + FIRST_EVENT_EXTRA_MS;
}
