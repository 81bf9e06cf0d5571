import {
  allLoads,
  estimatePassMs,
  type LossFact,
  orderEvent,
  type OversizedPart,
  type SendEnd,
  type TargetLoad,
} from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import { createErrorGuard } from '../createErrorGuard/index.ts';
import type { ForwardContext } from '../forwardRequest/types.ts';
import type { TargetHead } from '../httpDialect/index.ts';
import {
  type MemoryReservation,
  reserveMemory,
} from '../reserveMemory/index.ts';
import { relayDialect } from '../relayDialect/index.ts';
import {
  type ResponseHead,
  type RunningSend,
  sendRequest,
} from '../sendRequest/index.ts';
import type { HeldReservation } from '../targetLoss/index.ts';
import { createEventSplitter, type StreamEvent } from '../splitEvents/index.ts';
import { answerLimits, bufferAnswer } from './_lib/bufferAnswer.ts';
import { reportOversized } from './_lib/reportOversized.ts';
import { recordAnnouncements } from './_lib/recordAnnouncements.ts';
import { createEventTimes } from './_lib/eventTimes.ts';
import {
  countTowardsLimits,
  logSend,
  trackInFlight,
} from './_lib/sendStart.ts';
import { listHelpers, sendHeaders } from './_lib/sendHeaders.ts';
import { createStallDetector } from './_lib/stallDetector.ts';
import { sendObstacle } from './_lib/sendObstacle.ts';
import { remainingSilenceMs } from './_lib/remainingSilenceMs.ts';
import type { SendHandle, SendRun, SendRunHandlers } from './types.ts';

export type {
  BufferedResponse,
  SendHandle,
  SendResult,
  SendRun,
  SendRunHandlers,
} from './types.ts';

const HTTP_OK = 200;

const UNORDERED_EVENT =
  'event of a resumed stream that cannot be ordered after the last one';

/**
 * Sends a request to a target as planned: reserves helper memory if the plan
 * requires it, records the request in the gateway's load, and reports when the
 * target is silent for too long.
 *
 * @param run - The request and its plan.
 * @param handlers - Callbacks for the progress and the end of the send.
 * @param context - State, connection pool and limits of the gateway.
 * @returns A handle to cancel, pause or resume the send.
 *
 * @example
 * const running = runSend(run, handlers, context);
 */
export function runSend(
  run: SendRun,
  handlers: SendRunHandlers,
  context: ForwardContext,
): SendHandle {
  const { call, plan } = run;
  const { runtime, log, now } = context;
  const { target } = plan;
  const flightId = `${call.attemptId}/${run.number}`;
  const startedAtMs = now();
  const guard = createErrorGuard(handlers.onError);
  const answerBuffer = bufferAnswer(
    runtime,
    breakOff,
    answerLimits(context.memoryBytes),
  );
  const splitter = createEventSplitter({ blocks: answerBuffer.blocks });
  let head: ResponseHead | undefined;
  let isStream = false;
  const eventTimes = createEventTimes(startedAtMs);
  let isLate = run.resumeAfterId !== undefined;
  let wasSent = false;
  let isOver = false;
  let isPaused = false;
  let sending: RunningSend | undefined;
  let releaseMemory: (() => void) | undefined;
  let stopWatching: (() => void) | undefined;
  /** When the target last sent something, or could have begun to. */
  let receivedAtMs = startedAtMs;
  const stallDetector = createStallDetector({
    remainingSilenceMs: remainingMs,
    backlogMs: () => targetLoad()?.prefillMs ?? 0,
    onSilence: guard(handlers.onSilence, undefined),
  });

  logSend(run, context);
  countTowardsLimits(run, context);
  trackInFlight(run, { flightId, startedAtMs }, context);
  if (plan.isRelay) context.metrics.relayed({ side: 'sent' });
  if (plan.reservations.length === 0) send(undefined);
  else {
    releaseMemory = reserveMemory(
      plan.reservations,
      {
        orders: context.orders,
        log,
        requestId: call.attemptId,
        reservationId: flightId,
      },
      guard((held) => {
        if (isOver) return;
        if (E.isRight(held)) send(held.right);
        else
          finish({
            type: 'notSent',
            reason: `memory reservation failed: ${held.left.type}`,
          });
      }, undefined),
    );
  }

  function send(held: MemoryReservation | undefined): void {
    stallDetector.reset();
    const reservations = held === undefined ? [] : plan.reservations;
    const sentAtMs = now();
    const started = sendRequest(
      {
        address: target.address,
        method: call.method,
        path: call.path,
        headers: sendHeaders(
          run,
          listHelpers(plan, reservations, flightId),
          context,
        ),
        body: call.body,
        attemptId: call.attemptId,
        freshConnection: call.route.repeat === 'atMostOnce',
        namesAttempt: !plan.isRelay,
      },
      {
        obstacle: () => sendObstacle(plan, context),
        onSent: guard(onSent, undefined),
        onTargetHead: guard((targetHead) => {
          if (plan.isRelay) return;
          context.reachProbe.noteReceived();
          recordAnnouncements({ target, head: targetHead, sentAtMs }, context);
        }, undefined),
        onHead: guard(onHead, undefined),
        onBody: guard(onBody, undefined),
        onEnd: guard(finish, undefined),
      },
      plan.isRelay ? relayContext(context) : context,
    );
    if (isOver) started.cancel();
    else sending = started;
  }

  /** The target's silence begins here: what this entry needed until then, to
   * reserve memory or to connect, does not count. */
  function onSent(): void {
    wasSent = true;
    stopWatching = context.targetLoss.watch({
      requestId: call.attemptId,
      plan,
      service: call.service,
      reservation: heldReservation(),
      silenceMs: () => (isPaused ? 0 : now() - receivedAtMs),
      onLost: guard(onLost, undefined),
    });
    receivedAtMs = now();
    eventTimes.restart(receivedAtMs);
    stallDetector.reset();
    handlers.onSent();
  }

  function heldReservation(): HeldReservation | undefined {
    const holders = plan.reservations.map((one) => one.target);
    return holders.length === 0 ? undefined : { id: flightId, holders };
  }

  /** Ends the send because its process has ended without closing the connection. */
  function onLost(fact: LossFact): void {
    sending?.cancel();
    finish({
      type: 'broken',
      reason: `the target has ended: ${fact}`,
      isTargetLost: true,
    });
  }

  function onHead(received: ResponseHead): void {
    receivedAtMs = now();
    head = received;
    isStream = call.route.repeat === 'stream' && received.status === HTTP_OK;
  }

  function onBody(chunk: Buffer): void {
    if (isOver) return;
    receivedAtMs = now();
    if (!plan.isRelay) context.reachProbe.noteReceived();
    if (!isStream) {
      answerBuffer.add(chunk);
      return;
    }
    const canContinue = forwardEvents(splitter.push(chunk));
    if (splitter.isOversized()) {
      breakOff('event');
      return;
    }
    if (!canContinue) pause();
    holdPendingEvent();
  }

  /** Ends the send because the target sends too much. */
  function breakOff(oversized: OversizedPart): void {
    sending?.cancel();
    finish({ type: 'broken', reason: 'response too large', oversized });
  }

  /** While the caller reads slowly, the target's silence says nothing. */
  function pause(): void {
    isPaused = true;
    stallDetector.stop();
    sending?.pause();
  }

  function resume(): void {
    if (isOver || !isPaused) return;
    isPaused = false;
    receivedAtMs = now();
    eventTimes.restart(receivedAtMs);
    stallDetector.reset();
    sending?.resume();
  }

  /** Counts the incomplete event, unless the send has ended meanwhile. */
  function holdPendingEvent(): void {
    if (!isOver) answerBuffer.holdEvent(splitter.pendingBytes());
  }

  /** Forwards the events of a chunk together: each write takes memory of its own. */
  function forwardEvents(received: readonly StreamEvent[]): boolean {
    if (isOver || head === undefined) return true;
    const orders = received.map(orderOf);
    const unknownAt = orders.indexOf('unknown');
    const known = unknownAt < 0 ? received : received.slice(0, unknownAt);
    known.forEach(recordEvent);
    const fresh = known.filter((_event, index) => orders[index] === 'new');
    const canContinue = fresh.length === 0 || handlers.onEvents(fresh, head);
    if (unknownAt >= 0) {
      sending?.cancel();
      finish({ type: 'broken', reason: UNORDERED_EVENT });
    }
    return canContinue;
  }

  function orderOf(event: StreamEvent): ReturnType<typeof orderEvent> {
    return run.resumeAfterId === undefined
      ? 'new'
      : orderEvent(event, run.resumeAfterId);
  }

  function recordEvent(): void {
    const gapMs = eventTimes.note(now());
    if (gapMs === undefined) recordFirstEvent();
    else if (gapMs > call.route.gapTargetMs) markLate();
    stallDetector.reset();
  }

  function recordFirstEvent(): void {
    runtime.dispatch({ type: 'load.firstToken', flightId });
    const elapsedMs = now() - call.arrivedAtMs;
    if (elapsedMs > call.route.targetLatencyMs) markLate();
    const sendMs = now() - startedAtMs;
    if (plan.firstEventMs !== undefined) {
      context.metrics.observePredictionError({
        class: plan.isShort ? 'short' : 'long',
        errorMs: sendMs - plan.firstEventMs,
      });
    }
    log.info('request.firstEvent', {
      request: call.attemptId,
      target: target.id,
      elapsedMs: Math.round(elapsedMs),
      sendMs: Math.round(sendMs),
      predictedMs: Math.round(plan.firstEventMs ?? 0),
    });
  }

  function markLate(): void {
    if (isLate) return;
    isLate = true;
    runtime.dispatch({ type: 'load.late', flightId });
  }

  function remainingMs(backlogMs: number): number | undefined {
    const silenceMs = eventTimes.silenceMs(now());
    const silentSinceMs = now() - silenceMs;
    return remainingSilenceMs({
      route: call.route,
      plan,
      isLast: run.attemptsLeft <= 1,
      hasFirstEvent: eventTimes.eventCount() > 0,
      timeLeftMs: run.deadlineAtMs - startedAtMs,
      patienceMs: run.patienceMs - (silentSinceMs - startedAtMs),
      backlogMs,
      silenceMs,
    });
  }

  function cleanUp(end?: SendEnd): void {
    isOver = true;
    stallDetector.stop();
    stopWatching?.();
    releaseMemory?.();
    splitter.clear();
    answerBuffer.release();
    const leavesParts = wasSent && end?.type !== 'refused';
    runtime.dispatch({ type: 'load.ended', flightId, leavesParts });
  }

  function finish(reported: SendEnd, targetHead?: TargetHead): void {
    if (isOver) return;
    const passTimeRatio = observedPassTimeRatio();
    const end: SendEnd = isStream
      ? checkStreamEnd(reported, {
          pendingBytes: splitter.pendingBytes(),
          hasEvents:
            eventTimes.eventCount() > 0 || run.resumeAfterId !== undefined,
        })
      : reported;
    const isWhole = !isStream && end.type === 'answered';
    const answer =
      isWhole && head !== undefined
        ? { head, body: answerBuffer.bytes() }
        : undefined;
    cleanUp(reported);
    recordEnd(end);
    handlers.onEnd({
      end,
      target: targetHead,
      answer,
      passTimeRatio,
    });
  }

  function recordEnd(end: SendEnd | { readonly type: 'stalled' }): void {
    log.info('send.ended', {
      request: call.attemptId,
      target: target.id,
      end: end.type,
      status: 'status' in end ? end.status : undefined,
      reason: 'reason' in end ? end.reason : undefined,
      elapsedMs: Math.round(now() - startedAtMs),
      events: eventTimes.eventCount(),
      longestGapMs: Math.round(eventTimes.longestGapMs()),
    });
    context.metrics.sent({ end: end.type });
    if (end.type === 'broken') reportOversized(end.oversized, run, context);
  }

  /**
   * Median gap between events divided by the predicted time of a decoding pass.
   */
  function observedPassTimeRatio(): number | undefined {
    const { engine } = call.service;
    const medianGapMs = eventTimes.medianGapMs();
    if (engine === undefined || medianGapMs === undefined) return undefined;
    const load = targetLoad();
    const decodingRequests = Math.max(load?.decodingRequests ?? 0, 1);
    return (
      medianGapMs /
      estimatePassMs(engine, decodingRequests, load?.contextTokens ?? 0)
    );
  }

  function targetLoad(): TargetLoad | undefined {
    return allLoads(runtime.state().load, now()).get(target.id);
  }

  return {
    cancel() {
      if (isOver) return;
      cleanUp();
      sending?.cancel();
    },
    supersede() {
      if (isOver) return;
      recordEnd({ type: 'stalled' });
      cleanUp();
      sending?.cancel();
    },
    resume,
  };
}

/** Connections to peers, and the meaning of their responses. */
function relayContext({
  peerPool,
  dialect,
}: ForwardContext): Pick<ForwardContext, 'pool' | 'dialect'> {
  return { pool: peerPool, dialect: relayDialect(dialect) };
}

/**
 * Reports a stream as broken if it ended within an event or without any event.
 */
function checkStreamEnd(
  end: SendEnd,
  seen: { readonly pendingBytes: number; readonly hasEvents: boolean },
): SendEnd {
  if (end.type !== 'answered') return end;
  if (seen.pendingBytes > 0) {
    return { type: 'broken', reason: 'stream ended in the middle of an event' };
  }
  return seen.hasEvents
    ? end
    : { type: 'broken', reason: 'stream ended without any event' };
}
