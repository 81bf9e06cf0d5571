import {
  advanceStream,
  decideNext,
  mainObstacle,
  type NextStep,
  type SendEnd,
  type SendProgress,
  soonestAvailableAtMs,
  type StreamPosition,
  streamStart,
  takeoverObstacle,
} from '@endivegate/core/forwarding';
import { createErrorGuard } from '../createErrorGuard/index.ts';
import type { Reply } from '../createReply/index.ts';
import { createPartGuard } from '../partGuard/index.ts';
import { planRelay, planSend, type SendPlan } from '../planSend/index.ts';
import {
  type BufferedResponse,
  runSend,
  type SendResult,
} from '../runSend/index.ts';
import type { ResponseHead } from '../sendRequest/index.ts';
import type { StreamEvent } from '../splitEvents/index.ts';
import { admitSend, type SendRefusal } from './_lib/admitSend/index.ts';
import {
  checkShutdown,
  requestClass,
  type ShutdownCheck,
} from './_lib/checkShutdown.ts';
import { hasRetryBudget } from './_lib/hasRetryBudget.ts';
import { type TimeLeft, timeLeft } from './_lib/timeLeft.ts';
import { createOpenSends, type OpenSend } from './_lib/openSends.ts';
import {
  beginStream,
  replyBrokenOff,
  replyEnded,
  replyRefused,
  replyRefusedByPeer,
  replyTimedOut,
  replyWhole,
} from './_lib/replies.ts';
import { createRequestLog, type RequestCounts } from './_lib/requestLog.ts';
import { recordOutcome, recordSilence } from './_lib/recordOutcome.ts';
import type { ForwardCall, ForwardContext } from './types.ts';

/** Longest time of a timer of Node, which takes longer ones for 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Retry-After for refused requests: a few decoding passes of an engine. */
const RETRY_AFTER_MS = 150;

/**
 * Forwards a request, retrying at other targets where the route allows it,
 * until it is answered, refused or past its deadline.
 *
 * Streams are forwarded event by event. If the route allows it, a broken stream
 * is resumed at another target after the last complete event, unless that event has no
 * id by which later ones can be told. Other responses
 * are buffered and forwarded once complete. When a target is silent for too long,
 * the request is also sent to another one, and the first that goes on keeps it.
 * All sends are cancelled immediately when the caller disconnects. An error that is thrown
 * while the request is handled ends it.
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
  const { runtime, metrics, now } = context;
  const { route, service } = call;
  const waitMs = Math.min(route.timeoutMs, call.caller.deadlineMs ?? Infinity);
  const deadlineAtMs = call.arrivedAtMs + waitMs;
  const readAtMs = now();
  const partGuard = createPartGuard(call, context);
  const requestLog = createRequestLog(call, context);
  const excludedIds = new Set<string>();
  let sends = 0;
  let unsent = 0;
  let mayHaveRun = false;
  let answerBegun = false;
  let isOver = false;
  let shutdownCheck: ShutdownCheck | undefined;
  let position: StreamPosition = streamStart;
  let lastEventAtMs: number | undefined;
  let events = 0;
  /** Error of a target, delivered if no other send gives a better answer. */
  let heldAnswer: BufferedResponse | undefined;
  const openSends = createOpenSends();
  const guard = createErrorGuard(onError);
  let stopWaiting: (() => void) | undefined;

  const deadlineTimer = setTimeout(
    guard(onDeadline, undefined),
    Math.min(Math.max(deadlineAtMs - now(), 0), MAX_TIMER_MS),
  );
  reply.onDisconnect(guard(onCallerGone, undefined));
  reply.onDrain(guard(openSends.resumeAll, undefined));
  const stopListening = context.reachProbe.onCutOff(
    guard(() => {
      openSends.toTargets().forEach(takeOver);
    }, undefined),
  );
  const stopAwaitingEnd = context.shutdown?.onEnd(guard(onShutdown, undefined));
  guard(begin, undefined)();

  function begin(): void {
    if (!call.isRelayed) {
      runtime.dispatch({
        type: 'budget.requested',
        atMs: now(),
        service: service.name,
      });
    }
    sendOnce();
  }

  function sendOnce(admitted?: SendPlan): void {
    if (!endsInTime()) {
      if (!openSends.isAny()) onShutdown();
      return;
    }
    const blocked = partGuard.refusal();
    if (blocked !== undefined) {
      giveUp(blocked);
      return;
    }
    const left = timeLeftNow();
    const plan = admitted ?? planNow(left);
    if (plan === undefined) giveUp('no usable target is left');
    else if (plan === admitted) sendTo(plan);
    else admit(plan, left);
  }

  /** Whether the answer has begun, or ends before this entry does if it begins now. */
  function endsInTime(): boolean {
    if (answerBegun) return true;
    // The entry that relayed it does not shut down and can send it to another peer.
    if (call.isRelayed && sends === 0 && isShuttingDown()) return false;
    const plan = planToTargetNow;
    const query = { call, readAtMs, deadlineAtMs, plan };
    const check = checkShutdown(query, context);
    if (check === undefined) return true;
    const isNew = check.isTaken !== shutdownCheck?.isTaken;
    if (isNew) requestLog.checkedForShutdown(check);
    shutdownCheck = check;
    return check.isTaken;
  }

  function admit(plan: SendPlan, left: TimeLeft): void {
    const isAlone = !openSends.isAny();
    const mayHaveBegun = mayHaveRun || answerBegun;
    const state = { isFirst: sends === 0, isAlone, mayHaveBegun };
    const functions = { planNow, timeLeftNow, endsInTime, refuse, giveUp };
    const query = { call, plan, left, deadlineAtMs, ...state, ...functions };
    const send = guard(sendOnce, undefined);
    stopWaiting = admitSend({ ...query, send }, context);
  }

  function refuse(refusal: SendRefusal): void {
    requestLog.notAdmitted(refusal);
    finish('refused');
    const { message, admission } = refusal;
    const { retryAfterMs } = admission;
    replyRefused(reply, { message, retryAfterMs, isLocal: isLocalRefusal() });
  }

  function isShuttingDown(): boolean {
    return context.shutdown?.grace() !== undefined;
  }

  /** Whether the request is refused for the state of this entry alone, and no target has
   * received it. */
  function isLocalRefusal(): boolean {
    const { targetReach, roster } = runtime.state();
    const hasNoTarget =
      targetReach.phase === 'cutOff' || roster.targets.size === 0;
    return sends === 0 && (hasNoTarget || isShuttingDown());
  }

  function timeLeftNow(): TimeLeft {
    return timeLeft(route, {
      arrivedAtMs: call.arrivedAtMs,
      lastEventAtMs,
      deadlineAtMs,
      nowMs: now(),
    });
  }

  /** Plans a send to a target, or to a peer while this entry reaches no targets. If
   * there is none either, connections that are still open are tried, once. */
  function planNow(left: TimeLeft): SendPlan | undefined {
    const { phase } = runtime.state().targetReach;
    if (phase !== 'cutOff') return planToTarget(left);
    const relay = call.isRelayed ? undefined : planToPeer();
    return relay ?? (unsent === 0 ? planToTarget(left) : undefined);
  }

  function planToTargetNow(): SendPlan | undefined {
    return planToTarget(timeLeftNow());
  }

  function planToPeer(): SendPlan | undefined {
    return planRelay(runtime.state(), {
      nowMs: now(),
      dataCentre: context.dataCentre,
      configVersion: runtime.table()?.config.version ?? 0,
      excludedNames: excludedIds,
    });
  }

  function planToTarget(left: TimeLeft): SendPlan | undefined {
    return planSend(runtime.state(), {
      service,
      route,
      prompt: call.caller.prompt,
      excludedIds,
      ...left,
      nowMs: now(),
      dataCentre: context.dataCentre,
      memoryUtilisation: context.admission?.memoryUtilisation(),
    });
  }

  /** Sends the request to another target as well, if one can take it now. */
  function takeOver(silent: OpenSend): void {
    const isFirstNotice = !silent.isSilent;
    silent.isSilent = true;
    const obstacle = takeoverObstacle(progress());
    const plan = obstacle === undefined ? planTakeover() : undefined;
    if (isFirstNotice || plan !== undefined) {
      requestLog.silent({ silent: silent.plan, takeover: plan, obstacle });
    }
    if (plan === undefined) return;
    recordSilence(silent.plan, context);
    sendTo(plan);
  }

  /** A request is taken over only where a slot is free: targets that are merely full would
   * get more load. */
  function planTakeover(): SendPlan | undefined {
    const plan = planNow(timeLeftNow());
    const hasRoom = plan?.fits === true || context.admission === undefined;
    const mustWait = (plan?.slotWaitMs ?? 0) > 0;
    return hasRoom && !mustWait ? plan : undefined;
  }

  function sendTo(plan: SendPlan): void {
    excludedIds.add(plan.target.id);
    const send = openSends.add(plan);
    let sentAtMs: number | undefined;
    const handle = runSend(
      {
        call,
        plan,
        number: sends + unsent + 1,
        attemptsLeft: route.maxAttempts - sends,
        deadlineAtMs,
        patienceMs: timeLeftNow().patienceMs,
        resumeAfterId: position.type === 'after' ? position.id : undefined,
      },
      {
        onSent() {
          sentAtMs = now();
          send.wasSent = true;
          onSent();
        },
        onEvents: (received, head) => onEvents(send, received, head),
        onSilence: () => {
          takeOver(send);
        },
        onEnd(result) {
          openSends.remove(send);
          onSendEnd({ plan, sentAtMs }, result);
        },
        onError,
      },
      context,
    );
    if (openSends.has(send)) send.handle = handle;
    else handle.cancel();
  }

  function onSent(): void {
    sends += 1;
    if (sends === 1) return;
    runtime.dispatch({
      type: 'budget.retried',
      atMs: now(),
      service: service.name,
    });
  }

  function onEvents(
    send: OpenSend,
    received: readonly StreamEvent[],
    head: ResponseHead,
  ): boolean {
    if (openSends.supersede(send) > 0) mayHaveRun = true;
    send.isSilent = false;
    if (!answerBegun) {
      answerBegun = true;
      partGuard.answerBegan();
      beginStream(reply, head);
      recordResponseTime();
    }
    position = received.reduce(advanceStream, position);
    lastEventAtMs = now();
    events += received.length;
    const [first] = received;
    const isSingle = received.length === 1 && first !== undefined;
    return reply.write(
      isSingle
        ? first.bytes
        : Buffer.concat(received.map(({ bytes }) => bytes)),
    );
  }

  function onSendEnd(
    { plan, sentAtMs }: { plan: SendPlan; sentAtMs: number | undefined },
    received: SendResult,
  ): void {
    const result = toUnsent(received);
    const { end } = result;
    if (end.type === 'notSent') unsent += 1;
    if (end.type !== 'notSent' && end.type !== 'refused') mayHaveRun = true;
    if (plan.isRelay) {
      if (refuseAsPeer(result)) return;
    } else {
      recordOutcome({ plan, result }, context);
      partGuard.sendEnded({ target: plan.target, sentAtMs }, end);
    }
    const step = decideNext(usableEnd(result), progress());
    if (step.type !== 'deliver') {
      requestLog.next(end, step, counts());
      if (end.type === 'answered') heldAnswer = result.answer;
    }
    applyStep(step, result.answer);
  }

  /** Counts a relayed request as not sent if its peer refused it on account of its own
   * state: another peer may serve it. */
  function toUnsent(result: SendResult): SendResult {
    const { end, target } = result;
    if (end.type !== 'refused' || target?.isLocalRefusal !== true) {
      return result;
    }
    sends -= 1;
    return { ...result, end: { type: 'notSent', reason: 'refused by a peer' } };
  }

  /** Passes on a peer's refusal, which no other entry would decide otherwise. Returns
   * whether it did. */
  function refuseAsPeer({ end, target }: SendResult): boolean {
    const isRefusal = end.type === 'refused' && !mayHaveRun && !answerBegun;
    if (!isRefusal || openSends.isAny()) return false;
    finish('refused');
    replyRefusedByPeer(reply, target, RETRY_AFTER_MS);
    return true;
  }

  /**
   * A response that is not a stream cannot follow stream events which the caller
   * has received.
   */
  function usableEnd({ end, answer }: SendResult): SendEnd {
    return answerBegun && answer !== undefined && end.type === 'answered'
      ? { type: 'broken', reason: 'the stream was not resumed' }
      : end;
  }

  function progress(): SendProgress {
    const { live, silent } = openSends.count();
    return {
      ...counts(),
      repeat: route.repeat,
      resumable: route.resumable && position.type !== 'unknown',
      maxAttempts: route.maxAttempts,
      timeLeftMs: deadlineAtMs - now(),
      budgetLeft: hasRetryBudget(service.name, context),
      isCrasher: partGuard.isBlocked(),
      liveSends: live,
      silentSends: silent,
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
      case 'wait':
        return;
      case 'deliver':
        deliver(response);
        return;
      case 'refuse':
        finish('refused');
        replyRefused(reply, {
          message: 'no target took the request',
          retryAfterMs: retryAfterMs(),
          isLocal: isLocalRefusal(),
        });
        return;
      case 'fail':
        if (heldAnswer !== undefined) {
          deliver(heldAnswer);
          return;
        }
        finish('failed');
        replyBrokenOff(reply);
        return;
      case 'cutOff':
        finish('cutOff');
        reply.cutOff();
    }
  }

  function deliver(response: BufferedResponse | undefined): void {
    openSends.supersede();
    finish('answered');
    runtime.dispatch({
      type: 'durations.answered',
      ...requestClass(call),
      atMs: now(),
      elapsedMs: now() - call.arrivedAtMs,
    });
    if (response === undefined) {
      reply.end();
      return;
    }
    recordResponseTime();
    replyWhole(reply, response);
  }

  function giveUp(reason: string): void {
    if (openSends.isAny()) return;
    const obstacle = mainObstacle(runtime.state(), service.name, now());
    requestLog.givenUp(reason, excludedIds, obstacle);
    if (answerBegun) applyStep({ type: 'cutOff' }, undefined);
    else applyStep({ type: mayHaveRun ? 'fail' : 'refuse' }, undefined);
  }

  /** Delay after which a target may take the request: when all asked for a
   * pause, the end of the shortest one; when all are at their limits, the time until
   * one may get the next request. */
  function retryAfterMs(): number {
    const nowMs = now();
    const availableAtMs =
      soonestAvailableAtMs(runtime.state(), service.name, nowMs) ?? 0;
    return Math.max(
      availableAtMs - nowMs,
      partGuard.retryAfterMs(),
      RETRY_AFTER_MS,
    );
  }

  function mayRun(): boolean {
    return mayHaveRun || openSends.isAnySent();
  }

  /** Ends the request with this entry, with a complete response if none has begun. */
  function onShutdown(): void {
    if (isOver) return;
    const { live, silent } = openSends.count();
    requestLog.endedByShutdown(context.shutdown?.grace(), {
      check: shutdownCheck,
      openSends: live + silent,
      events,
      lastEventAtMs,
      unsentBytes: reply.unsentBytes(),
    });
    if (answerBegun) {
      applyStep({ type: 'cutOff' }, undefined);
    } else if (heldAnswer !== undefined) {
      deliver(heldAnswer);
    } else {
      const hasRun = mayRun();
      const isLocal = isLocalRefusal();
      finish(hasRun ? 'failed' : 'refused');
      replyEnded(reply, { mayRun: hasRun, isLocal });
    }
  }

  function onDeadline(): void {
    if (isOver) return;
    const hasRun = mayRun();
    finish('timedOut');
    if (answerBegun) reply.cutOff();
    else replyTimedOut(reply, hasRun);
  }

  function onCallerGone(): void {
    if (isOver) return;
    finish('callerGone');
    reply.cutOff();
  }

  /** Ends the request, of which nothing is known for certain any more. */
  function onError(error: unknown): void {
    requestLog.errorThrown(error);
    try {
      if (!isOver) finish('failed');
    } finally {
      replyBrokenOff(reply);
    }
  }

  function recordResponseTime(): void {
    metrics.answered({
      rule: route.repeat,
      elapsedMs: now() - call.arrivedAtMs,
    });
  }

  function finish(end: string): void {
    isOver = true;
    stopWaiting?.();
    openSends.cancelAll();
    clearTimeout(deadlineTimer);
    stopListening();
    stopAwaitingEnd?.();
    requestLog.ended(end, counts());
  }

  function counts(): RequestCounts {
    return { sends, unsent, events, mayHaveRun, answerBegun };
  }
}
