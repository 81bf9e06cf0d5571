import type { AttemptReport, TargetError } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import type { PrefixCache } from './createPrefixCache.ts';
import type { Reservations } from './createReservations.ts';
import type { LoadSample } from './createLoadHistory.ts';
import { encodeKvBlob, type KvBlob } from './kvBlob.ts';
import type { ModelOutput } from './modelOutput.ts';
import type { EngineModelSettings } from './options.ts';
import { planStep, type BatchStep } from './planStep.ts';
import {
  compareUrgency,
  isPrefilled,
  type ModelSubmission,
  type Sequence,
} from './sequence.ts';

/** Ended attempts that an engine can still report. */
const MAX_ENDED_ATTEMPTS = 2_000;

/** Retry delay that a refused submission suggests. */
const SUBMIT_RETRY_AFTER_MS = 500;

/** The queue and the running batch of one engine. */
export interface Batch {
  readonly clockMs: () => number;
  readonly runUntil: (nowMs: number) => void;
  readonly startIfIdle: (nowMs: number) => void;
  readonly submit: (submission: ModelSubmission) => E.Either<TargetError, void>;
  readonly cancel: (attemptId: string) => void;
  readonly nextChangeAtMs: () => number | undefined;
  readonly takeOutputs: () => readonly ModelOutput[];
  readonly report: (attemptId: string) => AttemptReport;
  readonly isReservationInUse: (reservationId: string) => boolean;
  readonly freeKvTokens: () => number;
  readonly usedKvTokens: () => number;
  readonly attemptIds: () => readonly string[];
  readonly load: () => LoadSample;
  readonly exportKv: (attemptId: string) => E.Either<TargetError, Uint8Array>;
  readonly importKv: (attemptId: string, blob: KvBlob) => void;
  readonly clear: () => void;
}

/** Options of {@link createBatch}. */
export interface CreateBatchOptions {
  readonly settings: EngineModelSettings;
  readonly reservations: Reservations;
  readonly cache: PrefixCache;
}

/**
 * Creates the queue and the batch of one engine.
 *
 * @param options - Settings, reservations and prefix cache of the engine.
 * @returns An empty batch.
 */
export function createBatch(options: CreateBatchOptions): Batch {
  const { settings, reservations, cache } = options;
  const running = new Map<string, Sequence>();
  const endedOutputTokens = new Map<string, number>();
  const importedTokensByAttempt = new Map<string, number>();
  let queue: readonly Sequence[] = [];
  let outputs: ModelOutput[] = [];
  let step: BatchStep | undefined;
  let clockMs = 0;
  let submissionCount = 0;
  /** KV memory of running sequences outside reservations, in tokens. */
  let sequenceKvTokens = 0;

  const usedKvTokens = (): number =>
    sequenceKvTokens + reservations.usedTokens();
  const freeKvTokens = (): number => settings.kvCapacityTokens - usedKvTokens();
  const find = (attemptId: string): Sequence | undefined =>
    running.get(attemptId) ??
    queue.find((sequence) => sequence.submission.attemptId === attemptId);
  const isReservationInUse = (reservationId: string): boolean =>
    [...running.values()].some(
      ({ submission }) => submission.reservationId === reservationId,
    );

  function runUntil(nowMs: number): void {
    for (
      let atMs = nextChangeAtMs();
      atMs !== undefined && atMs <= nowMs;
      atMs = nextChangeAtMs()
    ) {
      clockMs = Math.max(clockMs, atMs);
      if (step) finishStep(step);
      startStep();
    }
    clockMs = Math.max(clockMs, nowMs);
  }

  function nextChangeAtMs(): number | undefined {
    if (step) return step.endsAtMs;
    if (queue.length === 0) return undefined;
    const nextDeadlineAtMs = Math.min(...queue.map((s) => s.deadlineAtMs));
    return Math.min(nextDeadlineAtMs, reservations.nextExpiryAtMs());
  }

  function startStep(): void {
    dropExpired();
    reservations.expire(clockMs, isReservationInUse);
    admitQueued();
    step = planStep([...running.values()], clockMs, settings);
  }

  function finishStep(finished: BatchStep): void {
    finished.chunks.forEach(({ sequence, tokens }) => {
      prefill(sequence, tokens);
    });
    finished.decoding.forEach(emitToken);
  }

  function prefill(sequence: Sequence, tokens: number): void {
    if (!running.has(sequence.submission.attemptId)) return;
    sequence.prefilledTokens += tokens;
    sequence.importedTokens = 0;
    if (!isPrefilled(sequence)) return;
    cache.store(sequence.submission.prefixHashes);
    emitToken(sequence);
  }

  function emitToken(sequence: Sequence): void {
    const { attemptId, maxOutputTokens } = sequence.submission;
    if (running.get(attemptId) !== sequence) return;
    const offset = sequence.emittedTokens;
    sequence.emittedTokens += 1;
    if (settings.emits === 'everyToken' || offset === 0) {
      outputs.push({ type: 'token', attemptId, offset, atMs: clockMs });
    }
    if (sequence.emittedTokens < sequence.plannedOutputTokens) return;
    const outputTokens = sequence.emittedTokens;
    const finishReason = outputTokens < maxOutputTokens ? 'stop' : 'length';
    remove(sequence);
    outputs.push({
      type: 'end',
      attemptId,
      finishReason,
      outputTokens,
      atMs: clockMs,
    });
  }

  function dropExpired(): void {
    [...queue, ...running.values()]
      .filter((sequence) => sequence.deadlineAtMs <= clockMs)
      .forEach((sequence) => {
        remove(sequence);
        outputs.push({
          type: 'expired',
          attemptId: sequence.submission.attemptId,
          outputTokens: sequence.emittedTokens,
          atMs: clockMs,
        });
      });
  }

  function remove(sequence: Sequence): void {
    const { attemptId } = sequence.submission;
    if (running.delete(attemptId)) sequenceKvTokens -= sequence.kvTokens;
    queue = queue.filter((other) => other !== sequence);
    endedOutputTokens.set(attemptId, sequence.emittedTokens);
    if (endedOutputTokens.size <= MAX_ENDED_ATTEMPTS) return;
    const [oldest] = endedOutputTokens.keys();
    if (oldest !== undefined) endedOutputTokens.delete(oldest);
  }

  function admitQueued(): void {
    for (let head = queue[0]; head && fits(head); head = queue[0]) {
      queue = queue.slice(1);
      admit(head);
    }
  }

  function fits(sequence: Sequence): boolean {
    return (
      running.size < settings.maxBatch && sequence.kvTokens <= freeKvTokens()
    );
  }

  function admit(sequence: Sequence): void {
    const { attemptId, prefixHashes, promptTokens } = sequence.submission;
    const cachedTokens = cache.match(prefixHashes);
    const importedTokens = importedTokensByAttempt.get(attemptId) ?? 0;
    importedTokensByAttempt.delete(attemptId);
    // The last prompt token is always computed, as it yields the first output token.
    const reusedTokens = Math.max(cachedTokens, importedTokens);
    sequence.prefilledTokens = Math.min(reusedTokens, promptTokens - 1);
    sequence.importedTokens = Math.max(0, importedTokens - cachedTokens);
    running.set(attemptId, sequence);
    sequenceKvTokens += sequence.kvTokens;
    outputs.push({ type: 'started', attemptId, atMs: clockMs });
  }

  function submit(submission: ModelSubmission): E.Either<TargetError, void> {
    const reason = refusalOf(submission);
    if (reason !== undefined) return refused(reason);
    submissionCount += 1;
    const sequence = toSequence(submission, submissionCount, clockMs);
    queue = [...queue, sequence].sort(compareUrgency);
    return E.right(undefined);
  }

  function refusalOf(submission: ModelSubmission): string | undefined {
    const { attemptId, reservationId } = submission;
    if (find(attemptId) ?? endedOutputTokens.has(attemptId))
      return 'attempt id in use';
    if (queue.length >= settings.maxQueue) return 'queue full';
    if (reservationId !== undefined) {
      return reservations.has(reservationId) ? undefined : 'no reservation';
    }
    const tooLong = neededKvTokens(submission) > settings.kvCapacityTokens;
    return tooLong ? 'prompt exceeds KV memory' : undefined;
  }

  function report(attemptId: string): AttemptReport {
    const outputTokens = endedOutputTokens.get(attemptId);
    if (outputTokens !== undefined) return { type: 'done', outputTokens };
    const sequence = find(attemptId);
    if (!sequence) return { type: 'absent' };
    return { type: phaseOf(sequence), outputTokens: sequence.emittedTokens };
  }

  function phaseOf(sequence: Sequence): 'queued' | 'prefill' | 'decoding' {
    if (!running.has(sequence.submission.attemptId)) return 'queued';
    return isPrefilled(sequence) ? 'decoding' : 'prefill';
  }

  function load(): LoadSample {
    const waiting = [...queue, ...running.values()];
    return {
      queuedRequests: queue.length,
      runningRequests: running.size,
      queuedPrefillTokens: waiting.reduce(
        (sum, s) => sum + s.submission.promptTokens - s.prefilledTokens,
        0,
      ),
      kvUsedTokens: usedKvTokens(),
      kvCapacityTokens: settings.kvCapacityTokens,
    };
  }

  return {
    clockMs: () => clockMs,
    runUntil,
    startIfIdle: (nowMs) => {
      if (step || queue.length === 0) return;
      clockMs = nowMs;
      startStep();
    },
    submit,
    cancel: (attemptId) => {
      const sequence = find(attemptId);
      if (sequence) remove(sequence);
    },
    nextChangeAtMs,
    takeOutputs: () => {
      const drained = outputs;
      outputs = [];
      return drained;
    },
    report,
    isReservationInUse,
    freeKvTokens,
    usedKvTokens,
    attemptIds: () => [
      ...running.keys(),
      ...queue.map((sequence) => sequence.submission.attemptId),
    ],
    load,
    exportKv: (attemptId) => {
      const sequence = running.get(attemptId);
      if (!sequence) return refused('attempt not running');
      const { prefilledTokens } = sequence;
      const prefixHashes = [...sequence.submission.prefixHashes];
      return E.right(encodeKvBlob({ prefilledTokens, prefixHashes }));
    },
    importKv: (attemptId, blob) => {
      importedTokensByAttempt.set(attemptId, blob.prefilledTokens);
      cache.store(blob.prefixHashes);
    },
    clear: () => {
      running.clear();
      endedOutputTokens.clear();
      importedTokensByAttempt.clear();
      queue = [];
      outputs = [];
      step = undefined;
      sequenceKvTokens = 0;
    },
  };
}

function toSequence(
  submission: ModelSubmission,
  submissionIndex: number,
  nowMs: number,
): Sequence {
  const { outputTokens, maxOutputTokens, reservationId } = submission;
  const plannedOutputTokens = Math.min(
    outputTokens ?? maxOutputTokens,
    maxOutputTokens,
  );
  return {
    submission,
    submissionIndex,
    deadlineAtMs: nowMs + submission.timeoutMs,
    plannedOutputTokens: Math.max(1, plannedOutputTokens),
    kvTokens: reservationId === undefined ? neededKvTokens(submission) : 0,
    importedTokens: 0,
    prefilledTokens: 0,
    emittedTokens: 0,
  };
}

function neededKvTokens(submission: ModelSubmission): number {
  return submission.promptTokens + submission.maxOutputTokens;
}

function refused(reason: string): E.Either<TargetError, never> {
  return E.left({
    type: 'refused',
    reason,
    retryAfterMs: SUBMIT_RETRY_AFTER_MS,
  });
}
