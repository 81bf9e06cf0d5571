import type { RequestInfo, RootEvent } from '@endivegate/core';
import type { Metrics } from '../createMetrics/index.ts';
import type {
  OpenRequests,
  RequestResult,
} from '../createOpenRequests/index.ts';

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
    default:
  }
}

/** Options of {@link recordEnd}. */
export interface RecordEndOptions {
  readonly info: RequestInfo;
  readonly result: Pick<RequestResult, 'end' | 'ran'>;
  readonly nowMs: number;
}

/**
 * Records the end of a request in the entry's metrics.
 *
 * @param metrics - The metrics.
 * @param options - The request, how it ended, and the time.
 */
export function recordEnd(metrics: Metrics, options: RecordEndOptions): void {
  const { end, ran } = options.result;
  const outcome = end.type === 'refused' ? end.reason : end.type;
  const labels = { length_class: options.info.lengthClass };
  metrics.requestsEnded.inc({ ...labels, outcome, ran });
  metrics.requestSeconds.observe(
    labels,
    (options.nowMs - options.info.arrivedAtMs) / MS_PER_SECOND,
  );
}
