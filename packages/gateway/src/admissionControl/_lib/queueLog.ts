import type {
  QueuedRequest,
  QueueRefusalReason,
} from '@endivegate/core/forwarding';
import type { EventLog } from '../../createEventLog/index.ts';
import type { GatewayMetrics } from '../../createGatewayMetrics/index.ts';
import type { AdmitQuery } from '../../forwardRequest/_lib/admitSend/index.ts';
import type { ServiceCapacity } from './serviceCapacity.ts';

/** Why a request is refused for lack of capacity. */
export type RefusalReason = QueueRefusalReason | 'stopping';

/** A request that begins to wait. */
export interface QueuedEntry {
  readonly query: AdmitQuery;
  readonly request: QueuedRequest;
  readonly capacity: ServiceCapacity;
  /** Number of requests that wait at this entry. */
  readonly waiting: number;
}

/** A request that has left the queue. */
export interface DequeuedEntry {
  readonly query: AdmitQuery | undefined;
  readonly request: QueuedRequest;
  readonly end: 'started' | 'refused' | 'left';
  readonly reason?: RefusalReason;
  readonly waiting: number;
}

/** Logs and counts what happens in the queue. */
export interface QueueLog {
  readonly queued: (entry: QueuedEntry) => void;
  readonly ended: (entry: DequeuedEntry) => void;
}

/** Creates the log of a queue. */
export function createQueueLog({
  log,
  metrics,
  now,
}: {
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly now: () => number;
}): QueueLog {
  return {
    queued({ query, request, capacity, waiting }) {
      const { forecast } = capacity;
      const nothing = { requests: 0, memoryTokens: 0 };
      const expectedAtMs = capacity.expectedAtMs(request, nothing);
      log.info('request.queued', {
        request: query.call.attemptId,
        service: query.call.service.name,
        workspace: request.workspace,
        waiting,
        memoryTokens: request.memoryTokens,
        freeMemoryTokens: Math.round(forecast.freeMemoryTokens),
        freeSlots: forecast.freeSlots,
        expectedMs: Math.round(expectedAtMs - forecast.nowMs),
        expiresMs: Math.round(request.expiresAtMs - forecast.nowMs),
      });
    },
    ended({ query, request, end, reason, waiting }) {
      const waitedMs = now() - request.queuedAtMs;
      metrics.dequeued({ end, waitedMs });
      log.info('request.dequeued', {
        request: query?.call.attemptId,
        end,
        reason,
        waitedMs: Math.round(waitedMs),
        waiting,
      });
    },
  };
}
