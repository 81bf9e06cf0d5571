import type { ForwardingRoute } from '@endivegate/contracts/forwarding';

/** Callers leave a stream after the longest of a gap of two seconds, four times
 * the time for the first event, and eight times the gap target. */
const LEAST_PATIENCE_MS = 2000;
const AIM_FACTOR = 4;
const GAP_FACTOR = 8;

/**
 * Returns for how long callers bear a stream's silence, also before its first
 * event.
 *
 * @param route - The stream's route.
 * @returns Time in milliseconds.
 *
 * @example
 * callerPatienceMs({ ...route, targetLatencyMs: 3000, gapTargetMs: 1000 }); // 12_000
 */
export function callerPatienceMs(
  route: Pick<ForwardingRoute, 'targetLatencyMs' | 'gapTargetMs'>,
): number {
  return Math.max(
    LEAST_PATIENCE_MS,
    route.targetLatencyMs * AIM_FACTOR,
    route.gapTargetMs * GAP_FACTOR,
  );
}
