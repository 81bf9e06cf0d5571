import type { ExactInteger } from '@endivegate/contracts/forwarding';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { ConfigOrigin } from '../gatewayRuntime/index.ts';

/** Counters and histograms of a gateway. */
export interface GatewayMetrics {
  /** Metrics in the Prometheus text format. */
  readonly text: () => Promise<string>;
  /**
   * Counts a request by the repeat rule of its route and its end for the
   * caller.
   */
  readonly ended: (labels: { rule: string; end: string }) => void;
  /** Counts a send to a target by its end. */
  readonly sent: (labels: { end: string }) => void;
  /** Counts a response that was given up because a part exceeded its limit. */
  readonly oversized: (labels: { source: string; part: string }) => void;
  /** Records the time to the first event or to the complete response. */
  readonly answered: (sample: {
    readonly rule: string;
    readonly elapsedMs: number;
  }) => void;
  /** Records the observed minus the predicted time to first event, by the class of
   * the prompt. */
  readonly observePredictionError: (sample: {
    readonly class: 'short' | 'long';
    readonly errorMs: number;
  }) => void;
  /** Counts a response in which a target said that it is leaving, asked for a
   * pause, named a limit or said that it is cold. */
  readonly targetAnnounced: (labels: { announcement: string }) => void;
  /** Counts a request that this entry relays to a peer, or serves for one. */
  readonly relayed: (labels: { side: 'sent' | 'received' }) => void;
  /** Counts data of peers that was ignored: datagrams of an unknown kind, unknown
   * extension keys, and malformed parts of messages. */
  readonly peerDataIgnored: (labels: { kind: string }, amount: number) => void;
  /** Counts a target's death under a request with parts, and a request refused for
   * a part that crashes targets. */
  readonly partSuspected: (labels: { event: 'death' | 'refused' }) => void;
  /** Sets the era of the store, which rises when it is restored. */
  readonly storeEra: (era: ExactInteger) => void;
  /** Sets the number of evacuated data centres. */
  readonly evacuatedDataCentres: (count: number) => void;
  /** Counts a new connection to a target. */
  readonly connected: () => void;
  /** Counts a call to the store by its end. */
  readonly storeCalled: (labels: { call: string; end: string }) => void;
  /** Sets the number of targets that are missing from the list and still in use, and
   * the longest time since one of them was first missing. */
  readonly heldRemovals: (held: {
    readonly targets: number;
    readonly oldestMs: number;
  }) => void;
  /** Records for how long the removal of a target was held. */
  readonly targetRemoved: (heldMs: number) => void;
  /** Sets the number of targets that are cold. */
  readonly coldTargets: (targets: number) => void;
  /** Sets the number of requests that wait for capacity. */
  readonly queued: (requests: number) => void;
  /** Records a request that has left the queue, by its end there. */
  readonly dequeued: (sample: {
    readonly end: string;
    readonly waitedMs: number;
  }) => void;
  /** Counts a request that is refused for lack of capacity. */
  readonly queueRefused: (labels: { reason: string }) => void;
  /** Records how long a configuration took to become active; see `ConfigOrigin`. */
  readonly configApplied: (origin: ConfigOrigin) => void;
  /** Sets the number of dropped log lines since the start. */
  readonly droppedLines: (lines: number) => void;
}

/** Bucket bounds, from a network round trip to the longest deadline. */
const LATENCY_BUCKETS_MS = [
  5, 10, 20, 40, 80, 120, 160, 200, 250, 300, 400, 600, 800, 1200, 1500, 2000,
  3000, 5000, 10_000, 15_000,
];

const PREDICTION_ERROR_BUCKETS_MS = [
  -500, -200, -100, -50, -20, 0, 20, 50, 100, 200, 500, 1000, 3000,
];

/**
 * Creates the metrics of a gateway.
 *
 * @returns The metrics, registered in a registry of their own.
 *
 * @example
 * const metrics = createGatewayMetrics();
 */
export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'endivegate_requests_total',
    help: 'Requests by the rule of their route and their end.',
    labelNames: ['rule', 'end'],
    registers,
  });
  const sends = new Counter({
    name: 'endivegate_sends_total',
    help: 'Sends to targets by their end.',
    labelNames: ['end'],
    registers,
  });
  const oversized = new Counter({
    name: 'endivegate_oversized_responses_total',
    help: 'Responses given up because a part exceeded its limit.',
    labelNames: ['source', 'part'],
    registers,
  });
  const latency = new Histogram({
    name: 'endivegate_first_answer_ms',
    help: 'Time to the first event of a stream, or to a whole answer.',
    labelNames: ['rule'],
    buckets: LATENCY_BUCKETS_MS,
    registers,
  });
  const predictionError = new Histogram({
    name: 'endivegate_prediction_error_ms',
    help: 'Observed less predicted time to the first event, by class of prompt.',
    labelNames: ['class'],
    buckets: PREDICTION_ERROR_BUCKETS_MS,
    registers,
  });
  const connections = new Counter({
    name: 'endivegate_target_connections_total',
    help: 'Connections made to targets.',
    registers,
  });
  const announcements = new Counter({
    name: 'endivegate_target_announcements_total',
    help: 'Responses in which a target announced its leaving, asked for a pause, named a limit or said that it is cold.',
    labelNames: ['announcement'],
    registers,
  });
  const partSuspects = new Counter({
    name: 'endivegate_part_suspects_total',
    help: 'Deaths of targets under requests with parts, and requests refused for a part.',
    labelNames: ['event'],
    registers,
  });
  const relayed = new Counter({
    name: 'endivegate_relayed_requests_total',
    help: 'Requests relayed to peers while targets cannot be reached, and served for peers.',
    labelNames: ['side'],
    registers,
  });
  const peerDataIgnored = new Counter({
    name: 'endivegate_peer_data_ignored_total',
    help: 'Data of peers that was ignored: datagrams of unknown kind, unknown keys, malformed parts.',
    labelNames: ['kind'],
    registers,
  });
  const era = new Gauge({
    name: 'endivegate_store_era',
    help: 'Era of the store, rounded above 2^53; it rises when the store is restored from a copy.',
    registers,
  });
  const evacuated = new Gauge({
    name: 'endivegate_evacuated_data_centres',
    help: 'Data centres to whose targets nothing may be sent.',
    registers,
  });
  const storeCalls = new Counter({
    name: 'endivegate_store_calls_total',
    help: 'Calls to the store by their end.',
    labelNames: ['call', 'end'],
    registers,
  });
  const cold = new Gauge({
    name: 'endivegate_cold_targets',
    help: 'Targets that are cold and take few requests.',
    registers,
  });
  const queueLength = new Gauge({
    name: 'endivegate_queued_requests',
    help: 'Requests that wait at this entry for capacity of targets.',
    registers,
  });
  const queueWait = new Histogram({
    name: 'endivegate_queue_wait_ms',
    help: 'Time that requests waited for capacity, by their end in the queue.',
    labelNames: ['end'],
    buckets: LATENCY_BUCKETS_MS,
    registers,
  });
  const queueRefusals = new Counter({
    name: 'endivegate_queue_refusals_total',
    help: 'Requests refused for lack of capacity, by reason.',
    labelNames: ['reason'],
    registers,
  });
  const configDelay = new Histogram({
    name: 'endivegate_config_delay_ms',
    help: 'Time until a configuration is active, by source and stage: behind (since this entry first heard of it), fetch, decode.',
    labelNames: ['source', 'stage'],
    buckets: LATENCY_BUCKETS_MS,
    registers,
  });
  const held = new Gauge({
    name: 'endivegate_held_targets',
    help: 'Targets that are missing from the list and still in use.',
    registers,
  });
  const oldestHeld = new Gauge({
    name: 'endivegate_oldest_held_removal_ms',
    help: 'Longest time for which a target has been missing from the list and still in use.',
    registers,
  });
  const removalDelay = new Histogram({
    name: 'endivegate_removal_held_ms',
    help: 'Time for which the removal of a target was held.',
    buckets: LATENCY_BUCKETS_MS,
    registers,
  });
  const dropped = new Gauge({
    name: 'endivegate_dropped_log_lines',
    help: 'Log lines that were left out since the start.',
    registers,
  });
  return {
    text: () => registry.metrics(),
    ended: (labels) => {
      requests.inc(labels);
    },
    sent: (labels) => {
      sends.inc(labels);
    },
    oversized: (labels) => {
      oversized.inc(labels);
    },
    answered: ({ rule, elapsedMs }) => {
      latency.observe({ rule }, elapsedMs);
    },
    observePredictionError: ({ class: promptClass, errorMs }) => {
      predictionError.observe({ class: promptClass }, errorMs);
    },
    targetAnnounced: (labels) => {
      announcements.inc(labels);
    },
    relayed: (labels) => {
      relayed.inc(labels);
    },
    peerDataIgnored: (labels, amount) => {
      peerDataIgnored.inc(labels, amount);
    },
    partSuspected: (labels) => {
      partSuspects.inc(labels);
    },
    storeEra: (value) => {
      era.set(Number(value));
    },
    evacuatedDataCentres: (count) => {
      evacuated.set(count);
    },
    connected: () => {
      connections.inc();
    },
    storeCalled: (labels) => {
      storeCalls.inc(labels);
    },
    heldRemovals: ({ targets, oldestMs }) => {
      held.set(targets);
      oldestHeld.set(oldestMs);
    },
    targetRemoved: (heldMs) => {
      removalDelay.observe(heldMs);
    },
    coldTargets: (targets) => {
      cold.set(targets);
    },
    queued: (requests) => {
      queueLength.set(requests);
    },
    dequeued: ({ end, waitedMs }) => {
      queueWait.observe({ end }, waitedMs);
    },
    queueRefused: (labels) => {
      queueRefusals.inc(labels);
    },
    configApplied: ({ source, behindMs, fetchMs, decodeMs }) => {
      const kind = source === 'store' ? 'store' : 'peer';
      Object.entries({ behind: behindMs, fetch: fetchMs, decode: decodeMs })
        .filter(([, delayMs]) => delayMs !== undefined)
        .forEach(([stage, delayMs = 0]) => {
          configDelay.observe({ source: kind, stage }, delayMs);
        });
    },
    droppedLines: (lines) => {
      dropped.set(lines);
    },
  };
}
