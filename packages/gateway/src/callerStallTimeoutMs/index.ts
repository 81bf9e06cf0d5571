import type { ForwardingRoute } from '@endivegate/contracts/forwarding';

/**
 * Callers close a stream after a gap of two seconds, four times the latency
 * target or eight times the gap target, whichever is longest.
 */
const MIN_TIMEOUT_MS = 2000;
const LATENCY_FACTOR = 4;
const GAP_FACTOR = 8;

/**
 * Returns how long callers wait for the next event of a stream, including the
 * first one, before they disconnect.
 *
 * @param route - The stream's route.
 * @returns Time in milliseconds.
 *
 * @example
 * callerStallTimeoutMs({ ...route, targetLatencyMs: 3000, gapTargetMs: 1000 }); // 12_000
 */
export function callerStallTimeoutMs(
  route: Pick<ForwardingRoute, 'targetLatencyMs' | 'gapTargetMs'>,
): number {
  return Math.max(
    MIN_TIMEOUT_MS,
    route.targetLatencyMs * LATENCY_FACTOR,
    route.gapTargetMs * GAP_FACTOR,
  );
}
