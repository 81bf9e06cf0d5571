import type {
  AttemptReport,
  EnginePort,
  EngineStream,
  ServicePort,
  Target,
  TargetError,
} from '@endivegate/contracts';
import { enginePriorityOf, type RootEffect } from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { Metrics } from '../createMetrics/index.ts';
import type { OpenRequests } from '../createOpenRequests/index.ts';
import type { EffectHandler, Runtime } from '../runtime/index.ts';
import { restoreAnswer, toStoredAnswer } from '../storedAnswer/index.ts';
import type { EffectOf } from './_lib/effects.ts';
import { readStream, type StreamOutcome } from './_lib/readStream.ts';
import { watchSilence } from './_lib/watchSilence.ts';
import {
  type Attempt,
  type AttemptOutcome,
  type Connection,
  outcomeOfError,
  replaceController,
  restartAnswer,
  TARGET_UNLISTED,
  UNLISTED_REASON,
} from './_lib/attempt.ts';

/** Options of {@link createAttemptRunner}. */
export interface CreateAttemptRunnerOptions {
  readonly engines: EnginePort;
  readonly services: ServicePort;
  readonly openRequests: OpenRequests;
  readonly metrics: Metrics;
  readonly findTarget: (targetId: string) => Target | undefined;
  /** Time without an item from which a stream counts as silent. */
  readonly silenceTimeoutMs?: number;
}

const DEFAULT_SILENCE_TIMEOUT_MS = 2_000;

/**
 * Creates the handler that runs the effects of the requests slice.
 *
 * Every send and resume ends in exactly one `attempt.ended` event, unless
 * another connection of the same attempt took its place.
 *
 * @param options - Ports and the open requests.
 * @returns The handler.
 */
export function createAttemptRunner(
  options: CreateAttemptRunnerOptions,
): EffectHandler {
  const silenceTimeoutMs =
    options.silenceTimeoutMs ?? DEFAULT_SILENCE_TIMEOUT_MS;

  function findAttempt(effect: {
    readonly requestId: string;
    readonly attemptId: string;
    readonly targetId: string;
  }): Attempt | undefined {
    const open = options.openRequests.find(effect.requestId);
    const target = options.findTarget(effect.targetId);
    if (open === undefined || target === undefined) return undefined;
    const { requestId, attemptId } = effect;
    return { requestId, attemptId, target, open };
  }

  function send(effect: EffectOf<'requests.send'>, runtime: Runtime): void {
    const attempt = findAttempt(effect);
    if (attempt === undefined) {
      endUnlisted(effect, runtime);
      return;
    }
    restartAnswer(attempt.open);
    const connection = openConnection(attempt, runtime);
    const outcome =
      attempt.open.work.type === 'prompt'
        ? submitPrompt(attempt, effect, connection)
        : callService(attempt, effect);
    void outcome.then((result) => {
      endAttempt(attempt, result, connection);
    });
  }

  function openConnection(attempt: Attempt, runtime: Runtime): Connection {
    const { requestId, attemptId, open } = attempt;
    const isPrompt = open.work.type === 'prompt';
    const silence = watchSilence({
      timeoutMs: silenceTimeoutMs,
      onSilence: () => {
        if (!isPrompt) return;
        const { outputTokens } = open;
        runtime.dispatch({
          type: 'attempt.silent',
          requestId,
          attemptId,
          outputTokens,
        });
      },
    });
    return { runtime, controller: replaceController(attempt), silence };
  }

  function resume(effect: EffectOf<'requests.resume'>, runtime: Runtime): void {
    const attempt = findAttempt(effect);
    if (attempt === undefined) {
      endUnlisted(effect, runtime);
      return;
    }
    const connection = openConnection(attempt, runtime);
    const resumed = options.engines.resume(
      attempt.target,
      attempt.attemptId,
      attempt.open.outputTokens,
      connection.controller.signal,
    );
    void resumed()
      .then((stream) => consume(attempt, stream, connection))
      .then((result) => {
        endAttempt(attempt, result, connection);
      });
  }

  async function submitPrompt(
    attempt: Attempt,
    effect: EffectOf<'requests.send'>,
    connection: Connection,
  ): Promise<AttemptOutcome> {
    const { info, work } = attempt.open;
    const stream = await options.engines.submit(
      attempt.target,
      {
        attemptId: attempt.attemptId,
        model: info.service,
        prompt: work.type === 'prompt' ? work.prompt : '',
        promptTokens: info.promptTokens,
        maxOutputTokens: info.maxOutputTokens,
        priority: enginePriorityOf(info),
        timeoutMs: effect.timeoutMs,
        reservationId: effect.reservationId,
        prefixHashes: info.prefixHashes,
      },
      connection.controller.signal,
    )();
    return consume(attempt, stream, connection);
  }

  async function consume(
    attempt: Attempt,
    stream: E.Either<TargetError, EngineStream>,
    connection: Connection,
  ): Promise<AttemptOutcome> {
    if (E.isLeft(stream)) return outcomeOfError(stream.left);
    const { requestId, attemptId, open } = attempt;
    const outcome: StreamOutcome = await readStream({
      stream: stream.right,
      open,
      signal: connection.controller.signal,
      silence: connection.silence,
      onFirstToken: () => {
        const { targetId } = attempt.target;
        connection.runtime.dispatch({
          type: 'attempt.firstToken',
          requestId,
          attemptId,
          targetId,
        });
      },
      onDropped: (reason) => {
        options.metrics.droppedAnswerItems.inc({ reason });
      },
    });
    return { end: outcome, sent: true };
  }

  async function callService(
    attempt: Attempt,
    effect: EffectOf<'requests.send'>,
  ): Promise<AttemptOutcome> {
    const { info, work } = attempt.open;
    if (work.type !== 'call') {
      return outcomeOfError({ type: 'notSent', reason: 'not a call' });
    }
    const answer = await options.services.call(attempt.target, {
      attemptId: attempt.attemptId,
      method: work.method,
      path: work.path,
      contentType: work.contentType,
      body: work.body,
      idempotencyKey: info.idempotencyKey,
      timeoutMs: effect.timeoutMs,
    })();
    if (E.isLeft(answer)) return outcomeOfError(answer.left);
    attempt.open.answer = answer.right;
    return {
      end: { type: 'done' },
      sent: true,
      answer: toStoredAnswer(answer.right),
    };
  }

  function endAttempt(
    attempt: Attempt,
    result: AttemptOutcome,
    connection: Connection,
  ): void {
    connection.silence.stop();
    const { requestId, attemptId, open, target } = attempt;
    if (open.attempts.get(attemptId) !== connection.controller) return;
    open.attempts.delete(attemptId);
    options.metrics.attemptsEnded.inc({ end: result.end.type });
    connection.runtime.dispatch({
      type: 'attempt.ended',
      requestId,
      attemptId,
      targetId: target.targetId,
      end: result.end,
      outputTokens: open.outputTokens,
      sent: result.sent,
      answer: result.answer,
    });
  }

  function ask(effect: EffectOf<'requests.ask'>, runtime: Runtime): void {
    const { requestId, attemptId } = effect;
    const report = (told: AttemptReport | TargetError): void => {
      runtime.dispatch({
        type: 'attempt.reported',
        requestId,
        attemptId,
        report: told,
      });
    };
    const attempt = findAttempt(effect);
    if (attempt === undefined) {
      report(TARGET_UNLISTED);
      return;
    }
    void options.engines
      .queryAttempt(attempt.target, attemptId, effect.timeoutMs)()
      .then((reply) => {
        report(E.isLeft(reply) ? reply.left : reply.right);
      });
  }

  /** Ends an attempt whose target has left the list. */
  function endUnlisted(
    effect: EffectOf<'requests.send' | 'requests.resume'>,
    runtime: Runtime,
  ): void {
    const { requestId, attemptId, targetId } = effect;
    const wasSent = effect.type === 'requests.resume';
    runtime.dispatch({
      type: 'attempt.ended',
      requestId,
      attemptId,
      targetId,
      end: wasSent ? { type: 'cut', reason: UNLISTED_REASON } : TARGET_UNLISTED,
      outputTokens: options.openRequests.find(requestId)?.outputTokens ?? 0,
      sent: wasSent,
    });
  }

  function cancel(effect: EffectOf<'requests.cancel'>): void {
    const open = options.openRequests.find(effect.requestId);
    // A call cannot be taken back; its end settles the claim of its key.
    if (open?.work.type === 'call') return;
    open?.attempts.get(effect.attemptId)?.abort();
    open?.attempts.delete(effect.attemptId);
    const target = options.findTarget(effect.targetId);
    if (target?.targetKind !== 'engine') return;
    void options.engines.cancel(target, effect.attemptId)();
  }

  function replayStored(effect: EffectOf<'requests.replayStored'>): void {
    const open = options.openRequests.find(effect.requestId);
    if (open === undefined) return;
    open.answer = restoreAnswer(effect.answer, effect.requestId);
  }

  return (effect: RootEffect, runtime) => {
    switch (effect.type) {
      case 'requests.send':
        send(effect, runtime);
        return;
      case 'requests.resume':
        resume(effect, runtime);
        return;
      case 'requests.ask':
        ask(effect, runtime);
        return;
      case 'requests.cancel':
        cancel(effect);
        return;
      case 'requests.replayStored':
        replayStored(effect);
        return;
      case 'requests.finish':
        options.openRequests.finish(effect.requestId, effect);
        return;
      default:
    }
  };
}
