import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import { callerStallTimeoutMs } from '../../callerStallTimeoutMs/index.ts';

/** Remaining time of a request. */
export interface TimeLeft {
  /**
   * Time until the latency target: negative once it is missed, 0 once the
   * response has started.
   */
  readonly latencyBudgetMs: number;
  /** Time until the caller disconnects. */
  readonly patienceMs: number;
}

/** When a request arrived and when its caller last received something. */
export interface RequestTimes {
  readonly arrivedAtMs: number;
  /** Undefined before the first event. */
  readonly lastEventAtMs: number | undefined;
  readonly deadlineAtMs: number;
  readonly nowMs: number;
}

/**
 * Computes the remaining time of a request. A caller's patience begins anew with
 * each event.
 *
 * @param route - Route of the request.
 * @param times - Times of the request on the monotonic clock.
 * @returns The remaining time.
 */
export function timeLeft(
  route: Pick<ForwardingRoute, 'targetLatencyMs' | 'gapTargetMs'>,
  times: RequestTimes,
): TimeLeft {
  const { arrivedAtMs, lastEventAtMs, deadlineAtMs, nowMs } = times;
  const heardAtMs = lastEventAtMs ?? arrivedAtMs;
  const stallAtMs = heardAtMs + callerStallTimeoutMs(route);
  return {
    latencyBudgetMs:
      lastEventAtMs === undefined
        ? route.targetLatencyMs - (nowMs - arrivedAtMs)
        : 0,
    patienceMs: Math.min(stallAtMs, deadlineAtMs) - nowMs,
  };
}
