import {
  decideAdmission,
  decideNext,
  isCrasher,
  isRetryAllowed,
  type NextStep,
  type SendProgress,
  soonestUsableAtMs,
} from '@endivegate/core/forwarding';
import type { Reply } from '../createReply/index.ts';
import { endToEndHeaders } from '../httpDialect/index.ts';
import { createPartGuard } from '../partGuard/index.ts';
import { planSend, type SendPlan } from '../planSend/index.ts';
import {
  type BufferedResponse,
  runSend,
  type SendResult,
} from '../runSend/index.ts';
import type { ResponseHead, RunningSend } from '../sendRequest/index.ts';
import type { StreamEvent } from '../splitEvents/index.ts';
import { fingerprintOf } from './_lib/fingerprintOf.ts';
import { type TimeLeft, timeLeft } from './_lib/timeLeft.ts';
import { recordOutcome } from './_lib/recordOutcome.ts';
import type { ForwardCall, ForwardContext } from './types.ts';

/** Retry-After for refused requests: a few decoding passes of an engine. */
const RETRY_AFTER_MS = 150;

const HTTP_OK = 200;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/**
 * Forwards a request, retrying at other targets where the route allows it,
 * until it is answered, refused or past its deadline.
 *
 * Streams are forwarded event by event. If the route allows it, a broken stream
 * is resumed at another target after the last complete event. Other responses
 * are buffered and forwarded once complete. The send is cancelled immediately
 * when the caller disconnects.
 *
 * @param call - The request.
 * @param reply - The response to the caller.
 * @param context - State, connection pool and limits of the gateway.
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
  const fingerprint = fingerprintOf(call);
  const partGuard = createPartGuard(call, context);
  const excludedIds = new Set<string>();
  let sends = 0;
  let unsent = 0;
  let mayHaveRun = false;
  let answerBegun = false;
  let isOver = false;
  let lastEventId: number | undefined;
  let lastEventAtMs: number | undefined;
  let events = 0;
  let running: RunningSend | undefined;

  const deadlineTimer = setTimeout(
    onDeadline,
    Math.max(deadlineAtMs - now(), 0),
  );
  reply.onDisconnect(onCallerGone);
  reply.onDrain(() => running?.resume());
  runtime.dispatch({
    type: 'budget.requested',
    atMs: now(),
    service: service.name,
  });
  sendOnce();

  function sendOnce(): void {
    const state = runtime.state();
    if (state.suspects.size > 0 && isCrasher(state.suspects, fingerprint())) {
      giveUp('the request crashed several targets');
      return;
    }
    const blocked = partGuard.refusal();
    if (blocked !== undefined) {
      giveUp(blocked);
      return;
    }
    const left = timeLeftNow();
    const plan = planNow(excludedIds, left);
    if (plan === undefined) giveUp('no usable target is left');
    else if (!refuseIfLate(plan, left)) sendTo(plan);
  }

  function timeLeftNow(): TimeLeft {
    return timeLeft(route, {
      arrivedAtMs: call.arrivedAtMs,
      lastEventAtMs,
      deadlineAtMs,
      nowMs: now(),
    });
  }

  function planNow(
    skippedIds: ReadonlySet<string>,
    left: TimeLeft,
  ): SendPlan | undefined {
    return planSend(runtime.state(), {
      service,
      route,
      prompt: call.caller.prompt,
      excludedIds: skippedIds,
      ...left,
      nowMs: now(),
      dataCentre: context.dataCentre,
    });
  }

  /**
   * Whether another target has a free slot and the retry budget allows a send,
   * so that the send to this target may be aborted.
   */
  function canFailOver(target: SendPlan['target']): boolean {
    const plan = planNow(new Set([...excludedIds, target.id]), timeLeftNow());
    return plan?.slotWaitMs === 0 && progress().budgetLeft;
  }

  /**
   * Before the first send, refuses a request that is predicted to miss its
   * latency target. Returns whether it was refused.
   */
  function refuseIfLate(plan: SendPlan, left: TimeLeft): boolean {
    if (sends > 0 || plan.firstEventMs === undefined) return false;
    const { isShort, firstEventMs, slotWaitMs } = plan;
    const query = { isShort, firstEventMs, slotWaitMs, ...left };
    const admission = decideAdmission(query);
    if (admission.type === 'send') return false;
    log.info('request.notAdmitted', {
      request: call.attemptId,
      target: plan.target.id,
      firstEventMs: Math.round(firstEventMs),
      slotWaitMs: Math.round(slotWaitMs),
      latencyBudgetMs: Math.round(left.latencyBudgetMs),
      retryAfterMs: Math.round(admission.retryAfterMs),
    });
    finish('refused');
    reply.fail({
      status: UNAVAILABLE,
      message: 'all places are taken',
      retryAfterMs: admission.retryAfterMs,
    });
    return true;
  }

  function sendTo(plan: SendPlan): void {
    const ended = new AbortController();
    const started = runSend(
      {
        call,
        plan,
        number: sends + unsent + 1,
        isLast: sends + 1 >= route.maxAttempts,
        deadlineAtMs,
        resumeAfterId: lastEventId,
      },
      {
        onSent,
        onEvent,
        canFailOver: () => canFailOver(plan.target),
        onEnd(result) {
          ended.abort();
          running = undefined;
          onSendEnd(plan, result);
        },
      },
      context,
    );
    if (!ended.signal.aborted) running = started;
  }

  function onSent(): void {
    sends += 1;
    partGuard.sent();
    if (sends === 1) return;
    runtime.dispatch({
      type: 'budget.retried',
      atMs: now(),
      service: service.name,
    });
  }

  function onEvent(event: StreamEvent, head: ResponseHead): boolean {
    if (!answerBegun) {
      answerBegun = true;
      partGuard.answerBegan();
      reply.begin(HTTP_OK, responseHeaders(head));
      recordResponseTime();
    }
    lastEventId = event.id ?? lastEventId;
    lastEventAtMs = now();
    events += 1;
    return reply.write(event.bytes);
  }

  function onSendEnd(plan: SendPlan, result: SendResult): void {
    const { end } = result;
    if (end.type === 'notSent') unsent += 1;
    if (end.type !== 'notSent' && end.type !== 'refused') mayHaveRun = true;
    excludedIds.add(plan.target.id);
    recordOutcome({ plan, result, fingerprint }, context);
    partGuard.sendEnded(plan.target, end);
    const step = decideNext(end, progress());
    if (step.type !== 'deliver') {
      log.info('request.next', {
        request: call.attemptId,
        after: end.type,
        step: step.type,
        sends,
        unsent,
        mayHaveRun,
        answerBegun,
      });
    }
    applyStep(step, result.answer);
  }

  function progress(): SendProgress {
    const state = runtime.state();
    const atMs = now();
    // `peers` includes entries that are gone: they may have used the budget
    // within its window.
    const entries = state.peers.size + 1;
    const uptimeMs = atMs - context.startedAtMs;
    return {
      repeat: route.repeat,
      resumable: route.resumable,
      sends,
      unsent,
      maxAttempts: route.maxAttempts,
      mayHaveRun,
      answerBegun,
      timeLeftMs: deadlineAtMs - atMs,
      budgetLeft: isRetryAllowed(
        state.budget,
        { service: service.name, atMs },
        { ...context.bounds.retry, entries, uptimeMs },
      ),
      isCrasher:
        partGuard.isBlocked() ||
        (state.suspects.size > 0 && isCrasher(state.suspects, fingerprint())),
    };
  }

  function applyStep(
    step: NextStep,
    response: BufferedResponse | undefined,
  ): void {
    if (isOver) return;
    switch (step.type) {
      case 'sendAgain':
        sendOnce();
        return;
      case 'deliver':
        deliver(response);
        return;
      case 'refuse':
        finish('refused');
        reply.fail({
          status: UNAVAILABLE,
          message: 'no target took the request',
          retryAfterMs: retryAfterMs(),
        });
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

  function deliver(response: BufferedResponse | undefined): void {
    if (response === undefined) {
      finish('answered');
      reply.end();
      return;
    }
    if (answerBegun) {
      // A buffered response cannot follow stream events already sent to the
      // caller.
      applyStep({ type: 'cutOff' }, undefined);
      return;
    }
    finish('answered');
    recordResponseTime();
    reply.begin(response.head.status, [
      ...responseHeaders(response.head),
      ['Content-Length', String(response.body.length)],
    ]);
    reply.end(response.body);
  }

  function giveUp(reason: string): void {
    log.warn('request.givenUp', {
      request: call.attemptId,
      service: service.name,
      reason,
      tried: [...excludedIds],
    });
    if (answerBegun) applyStep({ type: 'cutOff' }, undefined);
    else applyStep({ type: mayHaveRun ? 'fail' : 'refuse' }, undefined);
  }

  /** Delay after which a target may take the request: when all asked for a
   * pause, the end of the shortest one. */
  function retryAfterMs(): number {
    const { roster } = runtime.state();
    const usableAtMs = soonestUsableAtMs(roster, service.name) ?? 0;
    return Math.max(
      usableAtMs - now(),
      partGuard.retryAfterMs(),
      RETRY_AFTER_MS,
    );
  }

  function onDeadline(): void {
    if (isOver) return;
    const mayRun = mayHaveRun || (running !== undefined && sends > 0);
    running?.cancel();
    finish('timedOut');
    if (answerBegun) reply.cutOff();
    else if (mayRun) {
      reply.fail({ status: GATEWAY_TIMEOUT, message: 'out of time' });
    } else {
      reply.fail({ status: UNAVAILABLE, message: 'out of time, not run' });
    }
  }

  function onCallerGone(): void {
    if (isOver) return;
    running?.cancel();
    finish('callerGone');
    reply.cutOff();
  }

  function recordResponseTime(): void {
    metrics.answered({
      rule: route.repeat,
      elapsedMs: now() - call.arrivedAtMs,
    });
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
      events,
      mayHaveRun,
    });
  }
}

function responseHeaders(
  head: ResponseHead,
): readonly (readonly [string, string])[] {
  return endToEndHeaders(head.rawHeaders, new Set());
}
