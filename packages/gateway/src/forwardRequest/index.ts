import type {
  ForwardingRoute,
  ForwardingService,
} from '@endivegate/contracts/forwarding';
import {
  allLoads,
  decideNext,
  isCrasher,
  mayRepeat,
  type NextStep,
  type SendEnd,
  type SendProgress,
  servingPeers,
} from '@endivegate/core/forwarding';
import type { ConnectionPool } from '../createConnectionPool/index.ts';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import type { Reply } from '../createReply/index.ts';
import type { GatewayBounds, GatewayRuntime } from '../gatewayRuntime/index.ts';
import {
  type CallerHead,
  type HttpDialect,
  passedHeaders,
  type TargetHead,
} from '../httpDialect/index.ts';
import { planSend, type SendPlan } from '../planSend/index.ts';
import {
  type AnswerHead,
  type RunningSend,
  sendRequest,
} from '../sendRequest/index.ts';
import { createEventSplitter } from '../splitEvents/index.ts';
import { fingerprintOf } from './_lib/fingerprintOf.ts';
import { stallLimitMs } from './_lib/stallLimitMs.ts';
import { urgencyOf } from './_lib/urgencyOf.ts';

/** A caller's request that may be forwarded. */
export interface ForwardCall {
  readonly attemptId: string;
  readonly route: ForwardingRoute;
  readonly service: ForwardingService;
  /** Workspace that the key belongs to; undefined where none is needed. */
  readonly workspace: string | undefined;
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly caller: CallerHead;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
}

/** What {@link forwardRequest} needs. */
export interface ForwardContext {
  readonly runtime: GatewayRuntime;
  readonly pool: ConnectionPool;
  readonly dialect: HttpDialect;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly bounds: GatewayBounds;
  readonly dataCentre: string;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/** A refused caller may come again after this: a few passes of an engine. */
const RETRY_AFTER_MS = 150;

/** Deadlines are told to targets a little short, so that theirs come first. */
const LEAST_DEADLINE_MS = 1;

const HTTP_OK = 200;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Answers that are not streams are held until they are whole. */
type Collected = { readonly head: AnswerHead; readonly chunks: Buffer[] };

/**
 * Forwards a request until it is answered, refused or out of time.
 *
 * Streams are passed on event by event, and go on at another target after the
 * last whole event where their route allows it. Other answers are passed on
 * when they are whole. The caller's leaving cancels the send at once.
 *
 * @param call - The request.
 * @param reply - The answer to its caller.
 * @param context - State, connections and bounds of the gateway.
 *
 * @example
 * forwardRequest(call, reply, context);
 */
export function forwardRequest(
  call: ForwardCall,
  reply: Reply,
  context: ForwardContext,
): void {
  const { runtime, log, metrics, now } = context;
  const { route, service } = call;
  const waitMs = Math.min(route.timeoutMs, call.caller.deadlineMs ?? Infinity);
  const deadlineAtMs = call.arrivedAtMs + waitMs;
  const excludedIds = new Set<string>();
  let sends = 0;
  let unsent = 0;
  let mayHaveRun = false;
  let answerBegun = false;
  let isOver = false;
  let lastEventId: number | undefined;
  let eventsPassed = 0;
  let running: RunningSend | undefined;
  let endFlight: (() => void) | undefined;

  const deadlineTimer = setTimeout(outOfTime, Math.max(deadlineAtMs - now(), 0));
  reply.onGone(callerGone);
  runtime.dispatch({
    type: 'budget.requested',
    atMs: now(),
    service: service.name,
  });
  sendOnce();

  function sendOnce(): void {
    const fingerprint = fingerprintOf(call);
    if (isCrasher(runtime.state().suspects, fingerprint())) {
      refuse('the request broke several targets');
      return;
    }
    const nowMs = now();
    const plan = planSend(runtime.state(), {
      service,
      route,
      prompt: call.caller.prompt,
      excludedIds,
      aimLeftMs: route.targetLatencyMs - (nowMs - call.arrivedAtMs),
      nowMs,
      dataCentre: context.dataCentre,
    });
    if (plan === undefined) {
      const step = finalStep();
      log.warn('request.noTarget', {
        request: call.attemptId,
        service: service.name,
        tried: [...excludedIds],
        step: step.type,
      });
      apply(step, undefined);
      return;
    }
    sendTo(plan, fingerprint);
  }

  function sendTo(plan: SendPlan, fingerprint: () => string): void {
    const flightId = `${call.attemptId}/${sends + unsent}`;
    const startedAtMs = now();
    const { target } = plan;
    const splitter = createEventSplitter();
    let collected: Collected | undefined;
    let isStreaming = false;
    let lastEventAtMs = startedAtMs;
    let sendEvents = 0;
    let stallTimer: NodeJS.Timeout | undefined;

    log.info('request.sent', {
      request: call.attemptId,
      target: target.id,
      service: service.name,
      helpers: plan.helpers.map((helper) => helper.id),
      promptTokens: call.caller.prompt?.promptTokens,
      predictedMs: plan.firstEventMs,
      resumedAfter: lastEventId,
      send: sends + 1,
      configVersion: runtime.table()?.config.version,
    });
    runtime.dispatch({
      type: 'load.started',
      flight: {
        flightId,
        targetId: target.id,
        helperIds: plan.helpers.map((helper) => helper.id),
        partReadMs: plan.partReadMs,
        memoryTokens: plan.memoryTokens,
        contextTokens: plan.contextTokens,
        gapTargetMs: route.gapTargetMs,
        startedAtMs,
        isWriting: false,
      },
    });
    endFlight = () => {
      clearTimeout(stallTimer);
      endFlight = undefined;
      running = undefined;
      runtime.dispatch({ type: 'load.ended', flightId });
    };
    armStallTimer();
    const send = sendRequest(
      {
        address: target.address,
        method: call.method,
        path: call.path,
        headers: headersFor(plan),
        body: call.body,
        attemptId: call.attemptId,
        freshConnection: route.repeat === 'atMostOnce',
      },
      { onSent, onHead, onBody, onEnd },
      context,
    );
    if (endFlight !== undefined) running = send;

    function onSent(): void {
      sends += 1;
      if (sends > 1) {
        runtime.dispatch({
          type: 'budget.repeated',
          atMs: now(),
          service: service.name,
        });
      }
    }

    function onHead(head: AnswerHead): void {
      isStreaming = route.repeat === 'stream' && head.status === HTTP_OK;
      collected = { head, chunks: [] };
    }

    function onBody(chunk: Buffer): void {
      if (!isStreaming) {
        collected?.chunks.push(chunk);
        return;
      }
      const canGoOn = splitter
        .push(chunk)
        .filter((event) => event.id === undefined || event.id > (lastEventId ?? -1))
        .map(passEvent)
        .every(Boolean);
      if (!canGoOn) running?.pause();
    }

    function passEvent(event: { bytes: Buffer; id: number | undefined }): boolean {
      if (isOver) return true;
      const atMs = now();
      if (sendEvents === 0) firstEvent(atMs);
      sendEvents += 1;
      lastEventAtMs = atMs;
      armStallTimer();
      if (!answerBegun && collected !== undefined) {
        answerBegun = true;
        reply.begin(HTTP_OK, answerHeaders(collected.head));
        metrics.answered({
          rule: route.repeat,
          elapsedMs: atMs - call.arrivedAtMs,
          errorMs:
            plan.firstEventMs === undefined
              ? undefined
              : atMs - startedAtMs - plan.firstEventMs,
        });
      }
      lastEventId = event.id ?? lastEventId;
      eventsPassed += 1;
      return reply.write(event.bytes);
    }

    function firstEvent(atMs: number): void {
      runtime.dispatch({ type: 'load.firstToken', flightId });
      log.info('request.firstEvent', {
        request: call.attemptId,
        target: target.id,
        elapsedMs: Math.round(atMs - call.arrivedAtMs),
        sendMs: Math.round(atMs - startedAtMs),
        predictedMs: Math.round(plan.firstEventMs ?? 0),
      });
    }

    function armStallTimer(): void {
      clearTimeout(stallTimer);
      const limitMs = stallLimitMs({
        route,
        plan,
        hasBegun: sendEvents > 0,
        timeLeftMs: deadlineAtMs - now(),
      });
      if (limitMs === undefined) return;
      stallTimer = setTimeout(() => {
        running?.cancel();
        onEnd({ type: 'stalled' }, undefined);
      }, limitMs);
    }

    function onEnd(reported: SendEnd, head: TargetHead | undefined): void {
      const end = checkEnd(reported);
      endFlight?.();
      const elapsedMs = Math.round(now() - startedAtMs);
      metrics.sent({ end: end.type });
      if (end.type === 'notSent') unsent += 1;
      if (end.type !== 'notSent' && end.type !== 'refused') mayHaveRun = true;
      excludedIds.add(target.id);
      noteTarget(plan, end, head, fingerprint);
      const step = decideNext(end, progress(fingerprint));
      log.info('send.ended', {
        request: call.attemptId,
        target: target.id,
        end: end.type,
        status: 'status' in end ? end.status : undefined,
        reason: 'reason' in end ? end.reason : undefined,
        elapsedMs,
        sinceLastEventMs: Math.round(now() - lastEventAtMs),
        events: sendEvents,
        mayHaveRun,
        step: step.type,
      });
      apply(step, isStreaming && end.type === 'answered' ? undefined : collected);
    }

    function checkEnd(end: SendEnd): SendEnd {
      if (end.type !== 'answered' || !isStreaming) return end;
      if (splitter.pendingBytes() > 0) {
        return { type: 'broken', reason: 'stream ended inside an event' };
      }
      return sendEvents === 0 && eventsPassed === 0
        ? { type: 'broken', reason: 'stream ended without an event' }
        : end;
    }
  }

  function noteTarget(
    plan: SendPlan,
    end: SendEnd,
    head: TargetHead | undefined,
    fingerprint: () => string,
  ): void {
    const { target } = plan;
    const atMs = now();
    switch (end.type) {
      case 'answered':
        runtime.dispatch({
          type: 'roster.succeeded',
          atMs,
          id: target.id,
          ratio: undefined,
        });
        if (runtime.state().suspects.size > 0) {
          runtime.dispatch({
            type: 'suspects.cleared',
            fingerprint: fingerprint(),
          });
        }
        return;
      case 'refused': {
        const blamed = [target, ...plan.helpers].find(
          (one) => one.address === head?.blamedAddress,
        );
        if (blamed !== undefined && plan.helpers.length > 0) {
          runtime.dispatch({
            type: 'roster.failed',
            atMs,
            id: blamed.id,
            reason: 'named in a refusal',
          });
        }
        return;
      }
      case 'notSent':
      case 'stalled':
        runtime.dispatch({
          type: 'roster.failed',
          atMs,
          id: target.id,
          reason: 'reason' in end ? end.reason : 'stalled',
        });
        return;
      case 'broken':
        runtime.dispatch({
          type: 'roster.failed',
          atMs,
          id: target.id,
          reason: end.reason,
        });
        runtime.dispatch({
          type: 'suspects.crashed',
          atMs,
          fingerprint: fingerprint(),
          targetId: target.id,
        });
    }
  }

  function progress(fingerprint: () => string): SendProgress {
    const state = runtime.state();
    const atMs = now();
    return {
      repeat: route.repeat,
      resumable: route.resumable,
      sends,
      unsent,
      maxAttempts: route.maxAttempts,
      mayHaveRun,
      answerBegun,
      timeLeftMs: deadlineAtMs - atMs,
      budgetLeft: mayRepeat(
        state.budget,
        { service: service.name, atMs },
        {
          ...context.bounds.retry,
          entries: servingPeers(state.peers, atMs).length + 1,
        },
      ),
      isCrasher:
        state.suspects.size > 0 && isCrasher(state.suspects, fingerprint()),
    };
  }

  function finalStep(): NextStep {
    if (answerBegun) return { type: 'cutOff' };
    return { type: mayHaveRun ? 'fail' : 'refuse' };
  }

  function apply(step: NextStep, collected: Collected | undefined): void {
    if (isOver) return;
    switch (step.type) {
      case 'sendAgain':
        sendOnce();
        return;
      case 'deliver':
        deliver(collected);
        return;
      case 'refuse':
        refuse('no target took the request');
        return;
      case 'fail':
        finish('failed');
        reply.fail({
          status: BAD_GATEWAY,
          message: 'the target broke off; the request may have run',
        });
        return;
      case 'cutOff':
        finish('cutOff');
        reply.cutOff();
    }
  }

  function deliver(collected: Collected | undefined): void {
    if (answerBegun) {
      finish(collected === undefined ? 'answered' : 'cutOff');
      if (collected === undefined) reply.end();
      else reply.cutOff();
      return;
    }
    if (collected === undefined) {
      apply(finalStep(), undefined);
      return;
    }
    const body = Buffer.concat(collected.chunks);
    finish('answered');
    metrics.answered({
      rule: route.repeat,
      elapsedMs: now() - call.arrivedAtMs,
      errorMs: undefined,
    });
    reply.begin(collected.head.status, [
      ...answerHeaders(collected.head),
      ['Content-Length', String(body.length)],
    ]);
    reply.end(body);
  }

  function refuse(message: string): void {
    if (mayHaveRun || answerBegun) {
      apply(finalStep(), undefined);
      return;
    }
    finish('refused');
    reply.fail({ status: UNAVAILABLE, message, retryAfterMs: RETRY_AFTER_MS });
  }

  function outOfTime(): void {
    if (isOver) return;
    const isRunning = running !== undefined && sends > 0;
    running?.cancel();
    endFlight?.();
    finish('timedOut');
    if (answerBegun) reply.cutOff();
    else if (mayHaveRun || isRunning) {
      reply.fail({ status: GATEWAY_TIMEOUT, message: 'out of time' });
    } else {
      reply.fail({ status: UNAVAILABLE, message: 'out of time, not run' });
    }
  }

  function callerGone(): void {
    if (isOver) return;
    running?.cancel();
    endFlight?.();
    finish('callerGone');
    reply.cutOff();
  }

  function finish(end: string): void {
    isOver = true;
    clearTimeout(deadlineTimer);
    metrics.ended({ rule: route.repeat, end });
    log.info('request.ended', {
      request: call.attemptId,
      route: route.name,
      end,
      elapsedMs: Math.round(now() - call.arrivedAtMs),
      sends,
      events: eventsPassed,
      mayHaveRun,
    });
  }

  function headersFor(plan: SendPlan): readonly (readonly [string, string])[] {
    const bodyLength =
      call.body.length > 0 || call.method === 'POST'
        ? [['Content-Length', String(call.body.length)] as const]
        : [];
    const deadlineMs = Math.max(
      Math.floor(deadlineAtMs - now()),
      LEAST_DEADLINE_MS,
    );
    return [
      ...passedHeaders(call.rawHeaders, context.dialect.withheldHeaders),
      ...bodyLength,
      ...context.dialect.writeSend({
        targetId: plan.target.id,
        deadlineMs,
        workspace: call.workspace,
        lastEventId:
          lastEventId === undefined
            ? call.caller.lastEventId
            : String(lastEventId),
        urgency: urgencyOf(service, call),
        helpers: plan.helpers.map(({ address }) => ({
          address,
          ticket: undefined,
        })),
      }),
    ];
  }

  function answerHeaders(
    head: AnswerHead,
  ): readonly (readonly [string, string])[] {
    return passedHeaders(head.rawHeaders, new Set());
  }

  reply.onDrain(() => running?.resume());
  void allLoads;
}
