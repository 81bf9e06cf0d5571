import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of the buckets of the time histograms, in seconds. */
const TIME_BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 1, 2, 5, 10, 30, 60, 300, 900,
];

/** Metrics of one entry; all label values come from bounded sets. */
export interface Metrics {
  readonly registry: Registry;
  readonly requestsEnded: Counter<'outcome' | 'ran' | 'length_class'>;
  readonly firstTokenSeconds: Histogram<'length_class'>;
  readonly requestSeconds: Histogram<'length_class'>;
  readonly openRequests: Gauge;
  readonly attemptsEnded: Counter<'end'>;
  readonly droppedAnswerItems: Counter<'reason'>;
  readonly tableNumber: Gauge;
  readonly effectErrors: Counter<'slice'>;
}

/**
 * Creates the metrics of one entry in a separate registry.
 *
 * @returns The metrics and their registry.
 */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requestsEnded: new Counter({
      name: 'endivegate_requests_ended_total',
      help: 'Requests ended, by outcome and whether they ran.',
      labelNames: ['outcome', 'ran', 'length_class'],
      registers,
    }),
    firstTokenSeconds: new Histogram({
      name: 'endivegate_first_token_seconds',
      help: 'Time from receipt of a request to its first token.',
      labelNames: ['length_class'],
      buckets: TIME_BUCKETS_SECONDS,
      registers,
    }),
    requestSeconds: new Histogram({
      name: 'endivegate_request_seconds',
      help: 'Time from receipt of a request to its end.',
      labelNames: ['length_class'],
      buckets: TIME_BUCKETS_SECONDS,
      registers,
    }),
    openRequests: new Gauge({
      name: 'endivegate_open_requests',
      help: 'Requests received and not ended.',
      registers,
    }),
    attemptsEnded: new Counter({
      name: 'endivegate_attempts_ended_total',
      help: 'Attempts on targets, by how they ended.',
      labelNames: ['end'],
      registers,
    }),
    droppedAnswerItems: new Counter({
      name: 'endivegate_dropped_answer_items_total',
      help: 'Answer items dropped as repeated, late or crossed.',
      labelNames: ['reason'],
      registers,
    }),
    tableNumber: new Gauge({
      name: 'endivegate_table_number',
      help: 'Number of the table in force.',
      registers,
    }),
    effectErrors: new Counter({
      name: 'endivegate_effect_errors_total',
      help: 'Effects whose handler threw; always a defect.',
      labelNames: ['slice'],
      registers,
    }),
  };
}
