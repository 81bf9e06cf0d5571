import {
  allLoads,
  estimatePassMs,
  type SendEnd,
  type TargetLoad,
} from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { ForwardContext } from '../forwardRequest/types.ts';
import type { TargetHead } from '../httpDialect/index.ts';
import { type HeldSeats, reserveSeats } from '../reserveSeats/index.ts';
import {
  type AnswerHead,
  type RunningSend,
  sendRequest,
} from '../sendRequest/index.ts';
import { createEventSplitter, type StreamEvent } from '../splitEvents/index.ts';
import { createEventTimes } from './_lib/eventTimes.ts';
import { logSend, startFlight } from './_lib/noteStart.ts';
import { helperSeats, sendHeaders } from './_lib/sendHeaders.ts';
import { createSilenceWatch } from './_lib/silenceWatch.ts';
import { stallLimitMs } from './_lib/stallLimitMs.ts';
import type { SendRun, SendRunHandlers } from './types.ts';

export type {
  CollectedAnswer,
  SendResult,
  SendRun,
  SendRunHandlers,
} from './types.ts';

const HTTP_OK = 200;

/**
 * Sends a request according to a plan: reserves memory where the plan asks for
 * it, keeps the gateway's load, and cuts off a target that falls silent.
 *
 * @param run - The request and the plan.
 * @param handlers - Receive what becomes of it.
 * @param context - State, connections and bounds of the gateway.
 * @returns The running send.
 *
 * @example
 * const running = runSend(run, handlers, context);
 */
export function runSend(
  run: SendRun,
  handlers: SendRunHandlers,
  context: ForwardContext,
): RunningSend {
  const { call, plan } = run;
  const { runtime, log, now } = context;
  const { target } = plan;
  const flightId = `${call.attemptId}/${run.number}`;
  const startedAtMs = now();
  const splitter = createEventSplitter();
  const chunks: Buffer[] = [];
  let head: AnswerHead | undefined;
  let isStream = false;
  const times = createEventTimes(startedAtMs);
  let isLate = run.resumeAfterId !== undefined;
  let isOver = false;
  let sending: RunningSend | undefined;
  let giveUpSeats: (() => void) | undefined;
  const silence = createSilenceWatch({
    leftMs: silenceLeftMs,
    backlogMs: () => targetLoad()?.prefillMs ?? 0,
    // An answer that has begun is not given up for places that are all taken.
    mayEnd: () => times.count() === 0 || handlers.mayMove(),
    onSilent() {
      sending?.cancel();
      finish({ type: 'stalled' });
    },
  });

  logSend(run, context);
  startFlight(run, { flightId, startedAtMs }, context);
  if (plan.seats.length === 0) send(undefined);
  else {
    giveUpSeats = reserveSeats(
      plan.seats,
      {
        orders: context.orders,
        log,
        requestId: call.attemptId,
        reservationId: flightId,
      },
      (held) => {
        if (isOver) return;
        if (E.isRight(held)) send(held.right);
        else
          finish({ type: 'notSent', reason: `no memory: ${held.left.type}` });
      },
    );
  }

  function send(held: HeldSeats | undefined): void {
    silence.restart();
    const seats = held === undefined ? [] : plan.seats;
    const started = sendRequest(
      {
        address: target.address,
        method: call.method,
        path: call.path,
        headers: sendHeaders(run, helperSeats(plan, seats, flightId), context),
        body: call.body,
        attemptId: call.attemptId,
        freshConnection: call.route.repeat === 'atMostOnce',
      },
      { onSent: handlers.onSent, onHead, onBody, onEnd: finish },
      context,
    );
    if (!isOver) sending = started;
  }

  function onHead(received: AnswerHead): void {
    head = received;
    isStream = call.route.repeat === 'stream' && received.status === HTTP_OK;
  }

  function onBody(chunk: Buffer): void {
    if (!isStream) {
      chunks.push(chunk);
      return;
    }
    const mayGoOn = splitter.push(chunk).map(passEvent).every(Boolean);
    if (!mayGoOn) sending?.pause();
  }

  function passEvent(event: StreamEvent): boolean {
    if (isOver || head === undefined) return true;
    const pauseMs = times.note(now());
    if (pauseMs === undefined) noteFirstEvent();
    else if (pauseMs > call.route.gapTargetMs) noteLate();
    silence.restart();
    const isKnown =
      event.id !== undefined && event.id <= (run.resumeAfterId ?? -1);
    return isKnown || handlers.onEvent(event, head);
  }

  function noteFirstEvent(): void {
    runtime.dispatch({ type: 'load.firstToken', flightId });
    const elapsedMs = now() - call.arrivedAtMs;
    if (elapsedMs > call.route.targetLatencyMs) noteLate();
    const sendMs = now() - startedAtMs;
    context.metrics.observePredictionError(
      sendMs - (plan.firstEventMs ?? sendMs),
    );
    log.info('request.firstEvent', {
      request: call.attemptId,
      target: target.id,
      elapsedMs: Math.round(elapsedMs),
      sendMs: Math.round(sendMs),
      predictedMs: Math.round(plan.firstEventMs ?? 0),
    });
  }

  function noteLate(): void {
    if (isLate) return;
    isLate = true;
    runtime.dispatch({ type: 'load.late', flightId });
  }

  function silenceLeftMs(backlogMs: number): number | undefined {
    return stallLimitMs({
      route: call.route,
      plan,
      isLast: run.isLast,
      hasBegun: times.count() > 0,
      timeLeftMs: run.deadlineAtMs - startedAtMs,
      backlogMs,
      silentMs: times.silentMs(now()),
    });
  }

  function stop(): void {
    isOver = true;
    silence.stop();
    giveUpSeats?.();
    runtime.dispatch({ type: 'load.ended', flightId });
  }

  function finish(reported: SendEnd, targetHead?: TargetHead): void {
    if (isOver) return;
    const pace = observedPace();
    stop();
    const end = isStream
      ? checkStreamEnd(reported, {
          pendingBytes: splitter.pendingBytes(),
          hasEvents: times.count() > 0 || run.resumeAfterId !== undefined,
        })
      : reported;
    log.info('send.ended', {
      request: call.attemptId,
      target: target.id,
      end: end.type,
      status: 'status' in end ? end.status : undefined,
      reason: 'reason' in end ? end.reason : undefined,
      elapsedMs: Math.round(now() - startedAtMs),
      events: times.count(),
      longestGapMs: Math.round(times.longestGapMs()),
    });
    context.metrics.sent({ end: end.type });
    const answer =
      isStream || head === undefined
        ? undefined
        : { head, body: Buffer.concat(chunks) };
    handlers.onEnd({ end, target: targetHead, answer, pace });
  }

  /** Usual pause between events ÷ the pass that the cost model predicts. */
  function observedPace(): number | undefined {
    const { engine } = call.service;
    const usualGapMs = times.usualGapMs();
    if (engine === undefined || usualGapMs === undefined) return undefined;
    const load = targetLoad();
    const writers = Math.max(load?.decodingRequests ?? 0, 1);
    return (
      usualGapMs / estimatePassMs(engine, writers, load?.contextTokens ?? 0)
    );
  }

  function targetLoad(): TargetLoad | undefined {
    return allLoads(runtime.state().load, now()).get(target.id);
  }

  return {
    cancel() {
      if (isOver) return;
      stop();
      sending?.cancel();
    },
    pause: () => sending?.pause(),
    resume: () => sending?.resume(),
  };
}

/** A stream that ends inside an event, or without any, is not whole. */
function checkStreamEnd(
  end: SendEnd,
  seen: { readonly pendingBytes: number; readonly hasEvents: boolean },
): SendEnd {
  if (end.type !== 'answered') return end;
  if (seen.pendingBytes > 0) {
    return { type: 'broken', reason: 'stream ended inside an event' };
  }
  return seen.hasEvents
    ? end
    : { type: 'broken', reason: 'stream ended without an event' };
}
