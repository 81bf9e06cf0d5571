import type { RequestInfo, RootEvent } from '@endivegate/core';
import type { Metrics } from '../createMetrics/index.ts';
import type { OpenRequests } from '../openRequests/index.ts';

const MS_PER_SECOND = 1_000;

/** Options of {@link recordMetrics}. */
export interface RecordMetricsOptions {
  readonly event: RootEvent;
  readonly openRequests: OpenRequests;
}

/**
 * Records what an event tells in the entry's metrics.
 *
 * @param metrics - The metrics.
 * @param options - The event, and the open requests that it may name.
 */
export function recordMetrics(
  metrics: Metrics,
  options: RecordMetricsOptions,
): void {
  const { event, openRequests } = options;
  switch (event.type) {
    case 'clock.ticked':
      metrics.openRequests.set(openRequests.count());
      return;
    case 'table.installed':
      metrics.tableNumber.set(event.number);
      return;
    case 'attempt.firstToken': {
      const info = openRequests.find(event.requestId)?.info;
      if (info === undefined) return;
      metrics.firstTokenSeconds.observe(
        { length_class: info.lengthClass },
        (event.atMs - info.arrivedAtMs) / MS_PER_SECOND,
      );
      return;
    }
    case 'request.received':
      metrics.openRequests.set(openRequests.count());
      return;
    case 'request.ended':
      recordEnd(metrics, event, openRequests.find(event.requestId)?.info);
      return;
    default:
  }
}

function recordEnd(
  metrics: Metrics,
  event: Extract<RootEvent, { readonly type: 'request.ended' }>,
  info: RequestInfo | undefined,
): void {
  if (info === undefined) return;
  const { end, ran } = event;
  const outcome = end.type === 'refused' ? end.reason : end.type;
  const labels = { length_class: info.lengthClass };
  metrics.requestsEnded.inc({ ...labels, outcome, ran });
  metrics.requestSeconds.observe(
    labels,
    (event.atMs - info.arrivedAtMs) / MS_PER_SECOND,
  );
}
