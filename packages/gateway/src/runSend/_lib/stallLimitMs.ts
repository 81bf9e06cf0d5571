import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import { callerPatienceMs } from '../../callerPatienceMs/index.ts';
import type { SendPlan } from '../../planSend/index.ts';

/** What decides how long a silence of a target is borne. */
export interface StallQuery {
  readonly route: ForwardingRoute;
  readonly plan: SendPlan;
  /** Whether no other send may follow this one. */
  readonly isLast: boolean;
  /** Whether this send has brought an event. */
  readonly hasBegun: boolean;
  readonly timeLeftMs: number;
  /** Reading that is still to be done at the target, which delays its events. */
  readonly backlogMs: number;
  /** How long the target has been silent. */
  readonly silentMs: number;
}

/** A first event this many times later than predicted is not coming. */
const FIRST_EVENT_FACTOR = 3;

/** Added to it: the time for which work beside a lost engine stalls. */
const FIRST_EVENT_EXTRA_MS = 1500;

/** A pause this many times the route's target has made the stream late. */
const GAP_FACTOR = 2;

const GAP_EXTRA_MS = 500;

/** Time that another target needs to go on before the caller leaves. */
const RESUME_MS = 400;

/** Predictions of a backlog's end are off by this. */
const BACKLOG_MARGIN_MS = 250;

/** Share of a plain call's time after which it is tried elsewhere. */
const PLAIN_SHARE = 0.4;

/**
 * Returns how much longer a target may be silent before the request is sent
 * elsewhere; 0 or less when that is due, undefined where it must not be sent
 * again.
 *
 * A stream that waits behind reading is left where it is, as long as the reading
 * is done before the caller loses patience.
 */
export function stallLimitMs(query: StallQuery): number | undefined {
  const { route, plan, isLast, hasBegun, timeLeftMs, silentMs } = query;
  if (isLast) return undefined;
  if (route.repeat === 'atMostOnce') return undefined;
  if (route.repeat === 'stream' && !route.resumable) return undefined;
  if (route.repeat === 'idempotent') return timeLeftMs * PLAIN_SHARE - silentMs;
  if (hasBegun) return gapLimitMs(query);
  const expectedMs = Math.max(
    plan.firstEventMs ?? 0,
    silentMs + query.backlogMs - plan.partReadMs,
  );
  return expectedMs * FIRST_EVENT_FACTOR + FIRST_EVENT_EXTRA_MS - silentMs;
}

function gapLimitMs({ route, silentMs, backlogMs }: StallQuery): number {
  const usualMs = route.gapTargetMs * GAP_FACTOR + GAP_EXTRA_MS;
  const patienceMs = callerPatienceMs(route);
  const explainedMs =
    backlogMs > 0 ? silentMs + backlogMs + BACKLOG_MARGIN_MS : 0;
  const canWait = explainedMs <= patienceMs - RESUME_MS;
  return Math.max(usualMs, canWait ? explainedMs : 0) - silentMs;
}
