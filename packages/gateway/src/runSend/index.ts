import {
  allLoads,
  estimatePassMs,
  LATE_VALUE,
  type SendEnd,
} from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { ForwardCall, ForwardContext } from '../forwardRequest/types.ts';
import {
  type HelperSeat,
  passedHeaders,
  type TargetHead,
} from '../httpDialect/index.ts';
import type { SendPlan } from '../planSend/index.ts';
import { type HeldSeats, reserveSeats } from '../reserveSeats/index.ts';
import {
  type AnswerHead,
  type RunningSend,
  sendRequest,
} from '../sendRequest/index.ts';
import { createEventSplitter, type StreamEvent } from '../splitEvents/index.ts';
import { stallLimitMs } from './_lib/stallLimitMs.ts';
import { urgencyOf } from './_lib/urgencyOf.ts';

/** One send of a request. */
export interface SendRun {
  readonly call: ForwardCall;
  readonly plan: SendPlan;
  /** Number of this send, from 1. */
  readonly number: number;
  /** Whether no other send may follow this one. */
  readonly isLast: boolean;
  readonly deadlineAtMs: number;
  /** Id of the last event that the caller has, when a stream is resumed. */
  readonly resumeAfterId: number | undefined;
}

/** An answer that is not a stream, whole. */
export interface CollectedAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** How a send ended, with what the caller may need of it. */
export interface SendResult {
  readonly end: SendEnd;
  readonly target: TargetHead | undefined;
  /** Undefined for streams. */
  readonly answer: CollectedAnswer | undefined;
  /** Observed ÷ published time of a pass, where events showed it. */
  readonly pace: number | undefined;
}

/** Receives what becomes of a send; `onEnd` comes once and last. */
export interface SendRunHandlers {
  /** The request is about to be written: from now on it may run. */
  readonly onSent: () => void;
  /** Returns whether more events may follow at once. */
  readonly onEvent: (event: StreamEvent, head: AnswerHead) => boolean;
  readonly onEnd: (result: SendResult) => void;
}

/** Deadlines that are told to targets are at least this. */
const LEAST_DEADLINE_MS = 1;

/** Pauses from which an engine's pace is judged. */
const LEAST_GAPS = 4;

/** A target that is to be borne for less than this is given up at once. */
const LEAST_WAIT_MS = 5;

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
  let events = 0;
  let lastEventAtMs = startedAtMs;
  const gapsMs: number[] = [];
  let isLate = run.resumeAfterId !== undefined;
  let isOver = false;
  let stallTimer: NodeJS.Timeout | undefined;
  let sending: RunningSend | undefined;
  let giveUpSeats: (() => void) | undefined;

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
    armStallTimer();
    const seats = held === undefined ? [] : plan.seats;
    const started = sendRequest(
      {
        address: target.address,
        method: call.method,
        path: call.path,
        headers: headersFor(run, helperSeats(plan, seats, flightId), context),
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
    const atMs = now();
    if (events === 0) noteFirstEvent();
    else notePause(atMs - lastEventAtMs);
    events += 1;
    lastEventAtMs = atMs;
    armStallTimer();
    const isKnown =
      event.id !== undefined && event.id <= (run.resumeAfterId ?? -1);
    return isKnown || handlers.onEvent(event, head);
  }

  function noteFirstEvent(): void {
    runtime.dispatch({ type: 'load.firstToken', flightId });
    const elapsedMs = now() - call.arrivedAtMs;
    if (elapsedMs > call.route.targetLatencyMs) noteLate();
    const sendMs = now() - startedAtMs;
    context.metrics.predicted(sendMs - (plan.firstEventMs ?? sendMs));
    log.info('request.firstEvent', {
      request: call.attemptId,
      target: target.id,
      elapsedMs: Math.round(elapsedMs),
      sendMs: Math.round(sendMs),
      predictedMs: Math.round(plan.firstEventMs ?? 0),
    });
  }

  function notePause(pauseMs: number): void {
    gapsMs.push(pauseMs);
    if (pauseMs > call.route.gapTargetMs) noteLate();
  }

  function noteLate(): void {
    if (isLate) return;
    isLate = true;
    runtime.dispatch({ type: 'load.late', flightId });
  }

  /** Load is looked up only when the time without any has passed, since it can
   * but lengthen it. */
  function armStallTimer(): void {
    clearTimeout(stallTimer);
    const limitMs = silenceLeftMs(0);
    if (limitMs !== undefined) stallTimer = setTimeout(checkSilence, limitMs);
  }

  function checkSilence(): void {
    const load = allLoads(runtime.state().load, now()).get(target.id);
    const leftMs = silenceLeftMs(load?.readMs ?? 0) ?? 0;
    if (leftMs > LEAST_WAIT_MS) {
      stallTimer = setTimeout(checkSilence, leftMs);
      return;
    }
    sending?.cancel();
    finish({ type: 'stalled' });
  }

  function silenceLeftMs(backlogMs: number): number | undefined {
    return stallLimitMs({
      route: call.route,
      plan,
      isLast: run.isLast,
      hasBegun: events > 0,
      timeLeftMs: run.deadlineAtMs - startedAtMs,
      backlogMs,
      silentMs: now() - lastEventAtMs,
    });
  }

  function stop(): void {
    isOver = true;
    clearTimeout(stallTimer);
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
          hasEvents: events > 0 || run.resumeAfterId !== undefined,
        })
      : reported;
    log.info('send.ended', {
      request: call.attemptId,
      target: target.id,
      end: end.type,
      status: 'status' in end ? end.status : undefined,
      reason: 'reason' in end ? end.reason : undefined,
      elapsedMs: Math.round(now() - startedAtMs),
      events,
      longestGapMs: Math.round(Math.max(0, ...gapsMs)),
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
    if (engine === undefined || gapsMs.length < LEAST_GAPS) return undefined;
    const load = allLoads(runtime.state().load, now()).get(target.id);
    const passMs = estimatePassMs(
      engine,
      Math.max(load?.writers ?? 0, 1),
      load?.contextTokens ?? 0,
    );
    const median = gapsMs.toSorted((a, b) => a - b)[gapsMs.length >> 1];
    return median === undefined ? undefined : median / passMs;
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

function logSend(run: SendRun, context: ForwardContext): void {
  const { call, plan } = run;
  context.log.info('request.sent', {
    request: call.attemptId,
    target: plan.target.id,
    service: call.service.name,
    helpers: plan.helpers.map((helper) => helper.id),
    seats: plan.seats.length,
    promptTokens: call.caller.prompt?.promptTokens,
    predictedMs:
      plan.firstEventMs === undefined
        ? undefined
        : Math.round(plan.firstEventMs),
    resumedAfter: run.resumeAfterId,
    send: run.number,
    configVersion: context.runtime.table()?.config.version,
  });
}

function startFlight(
  run: SendRun,
  started: { readonly flightId: string; readonly startedAtMs: number },
  context: ForwardContext,
): void {
  const { call, plan } = run;
  context.runtime.dispatch({
    type: 'load.started',
    flight: {
      ...started,
      targetId: plan.target.id,
      helperIds: plan.helpers.map((helper) => helper.id),
      partReadMs: plan.partReadMs,
      memoryTokens: plan.memoryTokens,
      contextTokens: plan.contextTokens,
      value: plan.value * (run.resumeAfterId === undefined ? 1 : LATE_VALUE),
      isShort: plan.isShort,
      seats: plan.seats.map((seat) => ({
        targetId: seat.target.id,
        tokens: seat.tokens,
      })),
      gapTargetMs: call.route.gapTargetMs,
      isWriting: false,
    },
  });
}

/** Helpers that hold memory come first, since seats are filled in turn. */
function helperSeats(
  plan: SendPlan,
  seats: SendPlan['seats'],
  reservationId: string,
): readonly HelperSeat[] {
  const holderIds = new Set(seats.map((seat) => seat.target.id));
  return [
    ...seats.map((seat) => ({
      address: seat.target.address,
      ticket: reservationId,
    })),
    ...plan.helpers
      .filter((helper) => !holderIds.has(helper.id))
      .map((helper) => ({ address: helper.address, ticket: undefined })),
  ];
}

function headersFor(
  run: SendRun,
  helpers: readonly HelperSeat[],
  context: ForwardContext,
): readonly (readonly [string, string])[] {
  const { call } = run;
  const hasBody = call.body.length > 0 || call.method === 'POST';
  const leftMs = Math.floor(run.deadlineAtMs - context.now());
  return [
    ...passedHeaders(call.rawHeaders, context.dialect.withheldHeaders),
    ...(hasBody ? [['Content-Length', String(call.body.length)] as const] : []),
    ...context.dialect.writeSend({
      targetId: run.plan.target.id,
      deadlineMs: Math.max(leftMs, LEAST_DEADLINE_MS),
      workspace: call.workspace,
      lastEventId: run.resumeAfterId?.toString() ?? call.caller.lastEventId,
      urgency: urgencyOf(call),
      helpers,
    }),
  ];
}
