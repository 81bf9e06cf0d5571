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
import { fromStoredAnswer, toStoredAnswer } from '../storedAnswer/index.ts';
import type { EffectOf } from './_lib/effects.ts';
import { readStream, type StreamOutcome } from './_lib/readStream.ts';
import { watchSilence } from './_lib/watchSilence.ts';
import {
  type Attempt,
  type AttemptOutcome,
  type Connection,
  toErrorOutcome,
  replaceAbortController,
  restartAnswer,
  TARGET_NOT_LISTED_ERROR,
  TARGET_NOT_LISTED_REASON,
} from './_lib/attempt.ts';

/** Options of {@link createAttemptRunner}. */
export interface CreateAttemptRunnerOptions {
  readonly engines: EnginePort;
  readonly services: ServicePort;
  readonly openRequests: OpenRequests;
  readonly metrics: Metrics;
  readonly findTarget: (targetId: string) => Target | undefined;
  /** Time without an item after which a stream is reported as silent. */
  readonly silenceTimeoutMs?: number;
}

const DEFAULT_SILENCE_TIMEOUT_MS = 2_000;

/**
 * Creates the handler that runs the effects of the requests slice.
 *
 * Every send and resume dispatches exactly one `attempt.ended` event, unless a
 * newer connection of the same attempt has replaced it or the attempt of a
 * prompt was cancelled.
 *
 * @param options - Ports and the open requests.
 * @returns The effect handler.
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
    const openRequest = options.openRequests.find(effect.requestId);
    const target = options.findTarget(effect.targetId);
    if (openRequest === undefined || target === undefined) return undefined;
    const { requestId, attemptId } = effect;
    return { requestId, attemptId, target, openRequest };
  }

  function send(effect: EffectOf<'requests.send'>, runtime: Runtime): void {
    const attempt = findAttempt(effect);
    if (attempt === undefined) {
      endUnlistedAttempt(effect, runtime);
      return;
    }
    restartAnswer(attempt.openRequest);
    const connection = openConnection(attempt, runtime);
    const outcome =
      attempt.openRequest.work.type === 'prompt'
        ? submitPrompt(attempt, effect, connection)
        : callService(attempt, effect);
    void outcome.then((result) => {
      endAttempt(attempt, result, connection);
    });
  }

  function openConnection(attempt: Attempt, runtime: Runtime): Connection {
    const { requestId, attemptId, openRequest } = attempt;
    const isPrompt = openRequest.work.type === 'prompt';
    const silence = watchSilence({
      timeoutMs: silenceTimeoutMs,
      onSilence: () => {
        if (!isPrompt) return;
        const { outputTokens } = openRequest;
        runtime.dispatch({
          type: 'attempt.silent',
          requestId,
          attemptId,
          outputTokens,
        });
      },
    });
    return { runtime, controller: replaceAbortController(attempt), silence };
  }

  function resume(effect: EffectOf<'requests.resume'>, runtime: Runtime): void {
    const attempt = findAttempt(effect);
    if (attempt === undefined) {
      endUnlistedAttempt(effect, runtime);
      return;
    }
    const connection = openConnection(attempt, runtime);
    const resumed = options.engines.resume(
      attempt.target,
      attempt.attemptId,
      attempt.openRequest.outputTokens,
      connection.controller.signal,
    );
    void resumed()
      .then((stream) => consumeStream(attempt, stream, connection))
      .then((result) => {
        endAttempt(attempt, result, connection);
      });
  }

  async function submitPrompt(
    attempt: Attempt,
    effect: EffectOf<'requests.send'>,
    connection: Connection,
  ): Promise<AttemptOutcome> {
    const { info, work } = attempt.openRequest;
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
    return consumeStream(attempt, stream, connection);
  }

  async function consumeStream(
    attempt: Attempt,
    stream: E.Either<TargetError, EngineStream>,
    connection: Connection,
  ): Promise<AttemptOutcome> {
    if (E.isLeft(stream)) return toErrorOutcome(stream.left);
    const { requestId, attemptId, openRequest } = attempt;
    const outcome: StreamOutcome = await readStream({
      stream: stream.right,
      openRequest,
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
    const { info, work } = attempt.openRequest;
    if (work.type !== 'call') {
      return toErrorOutcome({ type: 'notSent', reason: 'not a call' });
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
    if (E.isLeft(answer)) return toErrorOutcome(answer.left);
    attempt.openRequest.answer = answer.right;
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
    const { requestId, attemptId, openRequest, target } = attempt;
    if (openRequest.attempts.get(attemptId) !== connection.controller) return;
    openRequest.attempts.delete(attemptId);
    options.metrics.attemptsEnded.inc({ end: result.end.type });
    connection.runtime.dispatch({
      type: 'attempt.ended',
      requestId,
      attemptId,
      targetId: target.targetId,
      end: result.end,
      outputTokens: openRequest.outputTokens,
      sent: result.sent,
      answer: result.answer,
    });
  }

  function ask(
    effect: EffectOf<'requests.queryAttempt'>,
    runtime: Runtime,
  ): void {
    const { requestId, attemptId } = effect;
    const report = (result: AttemptReport | TargetError): void => {
      runtime.dispatch({
        type: 'attempt.reported',
        requestId,
        attemptId,
        report: result,
      });
    };
    const attempt = findAttempt(effect);
    if (attempt === undefined) {
      report(TARGET_NOT_LISTED_ERROR);
      return;
    }
    void options.engines
      .queryAttempt(attempt.target, attemptId, effect.timeoutMs)()
      .then((reply) => {
        report(E.isLeft(reply) ? reply.left : reply.right);
      });
  }

  /** Ends an attempt whose target is no longer listed. */
  function endUnlistedAttempt(
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
      end: wasSent
        ? { type: 'cut', reason: TARGET_NOT_LISTED_REASON }
        : TARGET_NOT_LISTED_ERROR,
      outputTokens: options.openRequests.find(requestId)?.outputTokens ?? 0,
      sent: wasSent,
    });
  }

  function cancel(effect: EffectOf<'requests.cancel'>): void {
    const openRequest = options.openRequests.find(effect.requestId);
    // A service call cannot be undone once it was sent, so it is left running:
    // its outcome settles the claim on its idempotency key.
    if (openRequest?.work.type === 'call') return;
    openRequest?.attempts.get(effect.attemptId)?.abort();
    openRequest?.attempts.delete(effect.attemptId);
    const target = options.findTarget(effect.targetId);
    if (target?.targetKind !== 'engine') return;
    void options.engines.cancel(target, effect.attemptId)();
  }

  function replayStored(effect: EffectOf<'requests.replayStored'>): void {
    const openRequest = options.openRequests.find(effect.requestId);
    if (openRequest === undefined) return;
    openRequest.answer = fromStoredAnswer(effect.answer, effect.requestId);
  }

  return (effect: RootEffect, runtime) => {
    switch (effect.type) {
      case 'requests.send':
        send(effect, runtime);
        return;
      case 'requests.resume':
        resume(effect, runtime);
        return;
      case 'requests.queryAttempt':
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
