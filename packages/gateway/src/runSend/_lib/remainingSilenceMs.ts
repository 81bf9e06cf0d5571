import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import { callerStallTimeoutMs } from '../../callerStallTimeoutMs/index.ts';
import type { SendPlan } from '../../planSend/index.ts';
import { firstEventLimitMs } from './firstEventLimitMs/index.ts';

/** Inputs that determine how long a target may stay silent. */
export interface StallQuery {
  readonly route: ForwardingRoute;
  readonly plan: SendPlan;
  /** Whether this is the last send that the route allows. */
  readonly isLast: boolean;
  /** Whether this send has received an event. */
  readonly hasFirstEvent: boolean;
  readonly timeLeftMs: number;
  /** Time from the start of the silence until the caller disconnects or the
   * deadline. */
  readonly patienceMs: number;
  /** Prefill time still pending at the target, which delays its events. */
  readonly backlogMs: number;
  /** Time since the target last sent an event, or since the send started. */
  readonly silenceMs: number;
}

/**
 * A gap above this multiple of the route's gap target has made the stream late.
 */
const GAP_FACTOR = 2;

const GAP_MARGIN_MS = 500;

/**
 * Time another target needs to resume the stream before the caller disconnects.
 */
const FAILOVER_MS = 400;

/** Error margin of backlog predictions. */
const BACKLOG_MARGIN_MS = 250;

/** Share of a plain call's time after which it is sent to another target. */
const PLAIN_CALL_SHARE = 0.4;

/** The same for a call relayed to a peer, which applies {@link PLAIN_CALL_SHARE}
 * itself. */
const RELAYED_CALL_SHARE = 0.7;

/**
 * Returns how much longer a target may stay silent before the request is sent
 * to another one. The result is 0 or less if the time is up, and undefined if
 * the request must not be sent again.
 *
 * A stream that has begun and waits for the prefill of other prompts stays at its
 * target if that prefill is expected to finish before the caller's stall timeout.
 */
export function remainingSilenceMs(query: StallQuery): number | undefined {
  const { route, plan, isLast, hasFirstEvent, timeLeftMs, silenceMs } = query;
  if (isLast) return undefined;
  if (route.repeat === 'atMostOnce') return undefined;
  if (route.repeat === 'stream' && !route.resumable) return undefined;
  if (route.repeat === 'idempotent') {
    const share = plan.isRelay ? RELAYED_CALL_SHARE : PLAIN_CALL_SHARE;
    return timeLeftMs * share - silenceMs;
  }
  if (hasFirstEvent) return remainingGapMs(query);
  const { targetLatencyMs } = route;
  return (
    firstEventLimitMs({ plan, targetLatencyMs, patienceMs: query.patienceMs }) -
    silenceMs
  );
}

function remainingGapMs(query: StallQuery): number {
  const { route, plan, silenceMs, backlogMs } = query;
  const baseMs = route.gapTargetMs * GAP_FACTOR + GAP_MARGIN_MS;
  const patienceMs = callerStallTimeoutMs(route);
  // A peer that is not frozen takes over after the base time itself.
  if (plan.isRelay)
    return Math.max(baseMs, patienceMs - FAILOVER_MS) - silenceMs;
  const backlogSilenceMs =
    backlogMs > 0 ? silenceMs + backlogMs + BACKLOG_MARGIN_MS : 0;
  const canWait = backlogSilenceMs <= patienceMs - FAILOVER_MS;
  return Math.max(baseMs, canWait ? backlogSilenceMs : 0) - silenceMs;
}
