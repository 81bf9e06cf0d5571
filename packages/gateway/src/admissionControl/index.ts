import type { ForwardingService } from '@endivegate/contracts/forwarding';
import {
  type AdmissionQueueEvent,
  type AdmissionQueueState,
  costOfDelayPolicy,
  decideQueueOffer,
  initialAdmissionQueue,
  initialMemoryMargin,
  initialReturnSchedule,
  nextQueueStep,
  type QueuedRequest,
  type QueuePolicy,
  reduceAdmissionQueue,
  reduceMemoryMargin,
  scheduleReturn,
  type SendEnd,
  servingPeers,
} from '@endivegate/core/forwarding';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import type { AdmitQuery } from '../forwardRequest/_lib/admitSend/index.ts';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import type { SendPlan } from '../planSend/index.ts';
import { createDrainTimer } from './_lib/drainTimer.ts';
import { createQueueLog, type RefusalReason } from './_lib/queueLog.ts';
import {
  createServiceCapacity,
  INITIAL_HOLD,
  noteHold,
  type ServiceCapacity,
} from './_lib/serviceCapacity.ts';
import {
  hasCapacity,
  sumTokens,
  toQueued,
  toReturning,
} from './_lib/toQueued.ts';

/** Refuses a request, with a message and the delay for Retry-After. */
export type RefuseOffer = (message: string, retryAfterMs: number) => void;

/** Queue of the requests for which targets have no capacity. */
export interface AdmissionControl {
  /**
   * Sends a request, lets it wait or refuses it.
   *
   * @returns A function that takes it out of the queue without an answer.
   */
  readonly offer: (query: AdmitQuery, refuse: RefuseOffer) => () => void;
  /** Fraction of the targets' memory that may be planned with. */
  readonly memoryUtilisation: () => number;
  /** Adapts the margin of memory to the end of a send. */
  readonly sendEnded: (plan: SendPlan, end: SendEnd) => void;
  /** Refuses what has not started by a time, since this entry stops. */
  readonly startUntil: (lastStartMs: number) => void;
  /** Refuses all that wait. */
  readonly close: () => void;
}

/** Options of {@link createAdmissionControl}. */
export interface CreateAdmissionControlOptions {
  readonly runtime: GatewayRuntime;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly now: () => number;
  readonly policy?: QueuePolicy;
  /** Returns a number uniform in [0, 1), to look at different times than peers. */
  readonly random?: () => number;
}

/** A waiting request, and what to do with it. */
interface Waiting {
  readonly query: AdmitQuery;
  readonly refuse: RefuseOffer;
}

/** The queue of one service. */
interface ServiceQueue {
  readonly service: ForwardingService;
  state: AdmissionQueueState;
}

const UNAVAILABLE = 503;

/**
 * Creates the queue of a gateway. Each service has one; nothing is exchanged between
 * entries but the load that they report anyway.
 *
 * @param options - State, log and metrics of the gateway.
 * @returns The queue, empty.
 *
 * @example
 * const stop = admission.offer(query, { send, refuse });
 */
export function createAdmissionControl(
  options: CreateAdmissionControlOptions,
): AdmissionControl {
  const { runtime, log, metrics, now } = options;
  const { policy = costOfDelayPolicy, random = Math.random } = options;
  const queues = new Map<string, ServiceQueue>();
  const waiting = new Map<string, Waiting>();
  const queueLog = createQueueLog({ log, metrics, now });
  let schedule = initialReturnSchedule;
  let margin = initialMemoryMargin;
  let hold = INITIAL_HOLD;
  let lastStartMs = Infinity;
  let offers = 0;
  const timer = createDrainTimer({ drain: drainAll, now, random });

  runtime.onLoadFreed((ended) => {
    if (ended !== undefined) hold = noteHold(hold, ended, now());
    if (waiting.size > 0) timer.soon();
  });

  function queueOf(service: ForwardingService): ServiceQueue {
    const { name } = service;
    const queue = queues.get(name) ?? { service, state: initialAdmissionQueue };
    queues.set(name, queue);
    return queue;
  }

  function apply(queue: ServiceQueue, event: AdmissionQueueEvent): void {
    queue.state = reduceAdmissionQueue(queue.state, event).state;
  }

  function capacityOf(
    { service }: ServiceQueue,
    fits: (request: QueuedRequest) => boolean,
  ): ServiceCapacity {
    return createServiceCapacity(runtime.state(), {
      service,
      nowMs: now(),
      utilisation: memoryUtilisation(),
      hold,
      fits,
    });
  }

  function offer(query: AdmitQuery, refuseOffer: RefuseOffer): () => void {
    const { call, plan, left, isFirst } = query;
    const queue = queueOf(call.service);
    offers += 1;
    const id = `${call.attemptId}/${offers}`;
    const request = toQueued(query, { id, nowMs: now(), lastStartMs });
    const fits = hasCapacity(plan, left, isFirst);
    if (fits && queue.state.waiting.length === 0) {
      apply(queue, { type: 'admissionQueue.started', request });
      query.send(plan);
      return ignore;
    }
    const capacity = capacityOf(queue, () => fits);
    const view = { nowMs: now(), capacity };
    const decision = decideQueueOffer(queue.state, request, view, policy);
    if (decision.type === 'start') {
      apply(queue, { type: 'admissionQueue.started', request });
      query.send(plan);
      return ignore;
    }
    if (decision.type === 'refuse') {
      refuse(queue, { query, refuse: refuseOffer }, request, decision.reason);
      return ignore;
    }
    apply(queue, { type: 'admissionQueue.queued', request });
    waiting.set(id, { query, refuse: refuseOffer });
    decision.evicted.forEach((one) => {
      endWait(queue, one, 'queueFull');
    });
    drain(queue);
    if (waiting.has(id))
      queueLog.queued({ query, request, capacity, waiting: waiting.size });
    updateTimer();
    return () => {
      leave(queue, request);
    };
  }

  function drainAll(): void {
    queues.forEach(giveBack);
    queues.forEach(drain);
    updateTimer();
  }

  /** Lets requests decide anew that can no longer end before this entry does. */
  function giveBack(queue: ServiceQueue): void {
    queue.state.waiting.forEach((request) => {
      const query = waiting.get(request.id)?.query;
      if (query === undefined || query.endsInTime()) return;
      leave(queue, request);
      query.send();
    });
  }

  /** Takes all steps that are due. */
  function drain(queue: ServiceQueue): void {
    while (queue.state.waiting.length > 0) {
      const plans = new Map<string, SendPlan | undefined>();
      const capacity = capacityOf(queue, (request) => {
        const plan = planOf(request);
        plans.set(request.id, plan.sent);
        return plan.isDue;
      });
      const view = { nowMs: now(), capacity };
      const step = nextQueueStep(queue.state, view, policy);
      if (step === undefined) return;
      if (step.type === 'refuse') endWait(queue, step.request, step.reason);
      else start(queue, step.request, plans.get(step.request.id));
    }
  }

  /** Plans a waiting request anew. Without a target it is due as well, since the
   * request is then given up. */
  function planOf({ id }: QueuedRequest): {
    readonly sent: SendPlan | undefined;
    readonly isDue: boolean;
  } {
    const query = waiting.get(id)?.query;
    if (query === undefined) return { sent: undefined, isDue: true };
    const left = query.timeLeftNow();
    const sent = query.planNow(left);
    const isDue = sent === undefined || hasCapacity(sent, left, query.isFirst);
    return { sent, isDue };
  }

  function start(
    queue: ServiceQueue,
    request: QueuedRequest,
    plan: SendPlan | undefined,
  ): void {
    const one = waiting.get(request.id);
    waiting.delete(request.id);
    apply(queue, { type: 'admissionQueue.started', request });
    queueLog.ended({
      query: one?.query,
      request,
      end: 'started',
      waiting: waiting.size,
    });
    one?.query.send(plan);
  }

  function endWait(
    queue: ServiceQueue,
    request: QueuedRequest,
    reason: RefusalReason,
  ): void {
    const one = waiting.get(request.id);
    waiting.delete(request.id);
    apply(queue, { type: 'admissionQueue.removed', id: request.id });
    queueLog.ended({
      query: one?.query,
      request,
      end: 'refused',
      waiting: waiting.size,
      reason,
    });
    if (one !== undefined) refuse(queue, one, request, reason);
  }

  function leave(queue: ServiceQueue, request: QueuedRequest): void {
    const one = waiting.get(request.id);
    if (one === undefined) return;
    waiting.delete(request.id);
    apply(queue, { type: 'admissionQueue.removed', id: request.id });
    queueLog.ended({
      query: one.query,
      request,
      end: 'left',
      waiting: waiting.size,
    });
    updateTimer();
  }

  function refuse(
    queue: ServiceQueue,
    { query, refuse: refuseOffer }: Waiting,
    request: QueuedRequest,
    reason: RefusalReason,
  ): void {
    const { forecast } = capacityOf(queue, () => false);
    const scheduled = scheduleReturn(
      schedule,
      toReturning(request, query, forecast.nowMs),
      forecast,
      {
        entries: servingPeers(runtime.state().peers, forecast.nowMs).length + 1,
        queuedRequests: queue.state.waiting.length,
        queuedMemoryTokens: sumTokens(queue.state.waiting),
      },
    );
    schedule = scheduled.state;
    metrics.queueRefused({ reason });
    refuseOffer(`no capacity in time: ${reason}`, scheduled.retryAfterMs);
  }

  function updateTimer(): void {
    metrics.queued(waiting.size);
    timer.setActive(waiting.size > 0);
  }

  function memoryUtilisation(): number {
    return 1 - margin.share;
  }

  function refuseAll(isDue: (request: QueuedRequest) => boolean): void {
    queues.forEach((queue) => {
      queue.state.waiting.filter(isDue).forEach((request) => {
        endWait(queue, request, 'stopping');
      });
    });
    updateTimer();
  }

  return {
    offer,
    memoryUtilisation,
    sendEnded(plan, end) {
      if (plan.isRelay || plan.memoryTokens === 0) return;
      const isRejected = end.type === 'refused' && end.status === UNAVAILABLE;
      margin = reduceMemoryMargin(margin, isRejected);
    },
    startUntil(atMs) {
      lastStartMs = atMs;
      // What waits already may start until then as well.
      queues.forEach((queue) => {
        const bounded = queue.state.waiting.map((request) => ({
          ...request,
          expiresAtMs: Math.min(request.expiresAtMs, atMs),
        }));
        queue.state = { ...queue.state, waiting: bounded };
      });
    },
    close() {
      refuseAll(() => true);
      timer.close();
    },
  };
}

function ignore(): void {
  // The request does not wait.
}
