import {
  decideAdmission,
  decideNext,
  isCrasher,
  mayRepeat,
  type NextStep,
  type SendProgress,
} from '@endivegate/core/forwarding';
import { callerPatienceMs } from '../callerPatienceMs/index.ts';
import type { Reply } from '../createReply/index.ts';
import { endToEndHeaders } from '../httpDialect/index.ts';
import { planSend, type SendPlan } from '../planSend/index.ts';
import {
  type CollectedAnswer,
  runSend,
  type SendResult,
} from '../runSend/index.ts';
import type { AnswerHead, RunningSend } from '../sendRequest/index.ts';
import type { StreamEvent } from '../splitEvents/index.ts';
import { fingerprintOf } from './_lib/fingerprintOf.ts';
import { noteOutcome } from './_lib/noteOutcome.ts';
import type { ForwardCall, ForwardContext } from './types.ts';

/** Time of a request that is left, in ms; the first is negative once it is late. */
interface TimeLeft {
  readonly aimLeftMs: number;
  /** Until its caller leaves. */
  readonly patienceMs: number;
}

/** A refused caller may come again after this: a few passes of an engine. */
const RETRY_AFTER_MS = 150;

const HTTP_OK = 200;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

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
  const fingerprint = fingerprintOf(call);
  const excludedIds = new Set<string>();
  let sends = 0;
  let unsent = 0;
  let mayHaveRun = false;
  let answerBegun = false;
  let isOver = false;
  let lastEventId: number | undefined;
  let events = 0;
  let running: RunningSend | undefined;

  const deadlineTimer = setTimeout(
    outOfTime,
    Math.max(deadlineAtMs - now(), 0),
  );
  reply.onGone(callerGone);
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
      giveUp('the request broke several targets');
      return;
    }
    const left = timeLeft();
    const plan = planNow(excludedIds, left);
    if (plan === undefined) giveUp('no target is left');
    else if (!isRefused(plan, left)) sendTo(plan);
  }

  function timeLeft(): TimeLeft {
    const elapsedMs = now() - call.arrivedAtMs;
    const bearsMs = Math.min(callerPatienceMs(route), waitMs);
    return {
      aimLeftMs: answerBegun ? 0 : route.targetLatencyMs - elapsedMs,
      patienceMs: bearsMs - elapsedMs,
    };
  }

  function planNow(
    withoutIds: ReadonlySet<string>,
    left: TimeLeft,
  ): SendPlan | undefined {
    return planSend(runtime.state(), {
      service,
      route,
      prompt: call.caller.prompt,
      excludedIds: withoutIds,
      ...left,
      nowMs: now(),
      dataCentre: context.dataCentre,
    });
  }

  /** Whether another target has a place, and the budget a send, for a request
   * that would be cut off at its target. */
  function mayMove(target: SendPlan['target']): boolean {
    const plan = planNow(new Set([...excludedIds, target.id]), timeLeft());
    return plan?.slotWaitMs === 0 && progress().budgetLeft;
  }

  /** Refuses what is predictably late, before it is sent for the first time. */
  function isRefused(plan: SendPlan, left: TimeLeft): boolean {
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
      aimLeftMs: Math.round(left.aimLeftMs),
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
        mayMove: () => mayMove(plan.target),
        onEnd(result) {
          ended.abort();
          running = undefined;
          sendEnded(plan, result);
        },
      },
      context,
    );
    if (!ended.signal.aborted) running = started;
  }

  function onSent(): void {
    sends += 1;
    if (sends === 1) return;
    runtime.dispatch({
      type: 'budget.repeated',
      atMs: now(),
      service: service.name,
    });
  }

  function onEvent(event: StreamEvent, head: AnswerHead): boolean {
    if (!answerBegun) {
      answerBegun = true;
      reply.begin(HTTP_OK, answerHeaders(head));
      noteAnswered();
    }
    lastEventId = event.id ?? lastEventId;
    events += 1;
    return reply.write(event.bytes);
  }

  function sendEnded(plan: SendPlan, result: SendResult): void {
    const { end } = result;
    if (end.type === 'notSent') unsent += 1;
    if (end.type !== 'notSent' && end.type !== 'refused') mayHaveRun = true;
    excludedIds.add(plan.target.id);
    noteOutcome({ plan, result, fingerprint }, context);
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
    apply(step, result.answer);
  }

  function progress(): SendProgress {
    const state = runtime.state();
    const atMs = now();
    // Also entries that are gone may have used the budget within its window.
    const entries = state.peers.size + 1;
    const countedMs = atMs - context.startedAtMs;
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
        { ...context.bounds.retry, entries, countedMs },
      ),
      isCrasher:
        state.suspects.size > 0 && isCrasher(state.suspects, fingerprint()),
    };
  }

  function apply(step: NextStep, answer: CollectedAnswer | undefined): void {
    if (isOver) return;
    switch (step.type) {
      case 'sendAgain':
        sendOnce();
        return;
      case 'deliver':
        deliver(answer);
        return;
      case 'refuse':
        finish('refused');
        reply.fail({
          status: UNAVAILABLE,
          message: 'no target took the request',
          retryAfterMs: RETRY_AFTER_MS,
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

  function deliver(answer: CollectedAnswer | undefined): void {
    if (answer === undefined) {
      finish('answered');
      reply.end();
      return;
    }
    if (answerBegun) {
      // The answer to a resumed send cannot follow events of a stream.
      apply({ type: 'cutOff' }, undefined);
      return;
    }
    finish('answered');
    noteAnswered();
    reply.begin(answer.head.status, [
      ...answerHeaders(answer.head),
      ['Content-Length', String(answer.body.length)],
    ]);
    reply.end(answer.body);
  }

  function giveUp(reason: string): void {
    log.warn('request.givenUp', {
      request: call.attemptId,
      service: service.name,
      reason,
      tried: [...excludedIds],
    });
    if (answerBegun) apply({ type: 'cutOff' }, undefined);
    else apply({ type: mayHaveRun ? 'fail' : 'refuse' }, undefined);
  }

  function outOfTime(): void {
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

  function callerGone(): void {
    if (isOver) return;
    running?.cancel();
    finish('callerGone');
    reply.cutOff();
  }

  function noteAnswered(): void {
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

function answerHeaders(
  head: AnswerHead,
): readonly (readonly [string, string])[] {
  return endToEndHeaders(head.rawHeaders, new Set());
}
