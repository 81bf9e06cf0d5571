import type {
  AttemptReport,
  CacheEvent,
  LoadReport,
  Reservation,
  TargetError,
} from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import { createRandom } from '../createRandom/index.ts';
import { createBatch } from './_lib/createBatch.ts';
import { createCacheFeed } from './_lib/createCacheFeed.ts';
import { createLoadHistory } from './_lib/createLoadHistory.ts';
import { createPrefixCache } from './_lib/createPrefixCache.ts';
import { createReservations } from './_lib/createReservations.ts';
import type { ModelOutput } from './_lib/modelOutput.ts';
import { decodeKvBlob } from './_lib/kvBlob.ts';
import {
  ENGINE_MODEL_DEFAULTS,
  type CreateEngineModelOptions,
} from './_lib/options.ts';
import type { ModelSubmission } from './_lib/sequence.ts';

export type { ModelOutput } from './_lib/modelOutput.ts';
export { ENGINE_MODEL_DEFAULTS } from './_lib/options.ts';
export type { CreateEngineModelOptions } from './_lib/options.ts';
export type { ModelSubmission } from './_lib/sequence.ts';

/** A simulated engine in virtual time; callers pass the current time. */
export interface EngineModel {
  readonly engineId: string;
  /** Queues a submission, or refuses it before anything runs. */
  readonly submit: (
    submission: ModelSubmission,
    nowMs: number,
  ) => E.Either<TargetError, void>;
  readonly cancel: (attemptId: string, nowMs: number) => void;
  /** Time of the next output or change; `undefined` when idle. */
  readonly nextChangeAtMs: () => number | undefined;
  /** Runs up to `nowMs`; returns the outputs since the last call, ordered by time. */
  readonly advance: (nowMs: number) => readonly ModelOutput[];
  readonly report: (attemptId: string) => AttemptReport;
  /** Grants a reservation, or renews the lifetime of one already held. */
  readonly reserve: (
    reservation: Omit<Reservation, 'ageMs'>,
    nowMs: number,
  ) => E.Either<TargetError, void>;
  /** Frees a reservation; freeing an absent one changes nothing. */
  readonly free: (reservationId: string, nowMs: number) => void;
  readonly listReservations: (nowMs: number) => readonly Reservation[];
  readonly load: (nowMs: number) => LoadReport;
  readonly cacheEvents: (
    afterSequence: number,
    nowMs: number,
  ) => readonly CacheEvent[];
  readonly exportKv: (attemptId: string) => E.Either<TargetError, Uint8Array>;
  /** Imports a KV cache; a later submission of the attempt reuses its tokens. */
  readonly importKv: (
    attemptId: string,
    kv: Uint8Array,
  ) => E.Either<TargetError, void>;
  /** KV memory used by sequences and reservations, in tokens. */
  readonly usedKvTokens: () => number;
  readonly attemptIds: () => readonly string[];
  /** Discards every sequence, reservation and cached prefix. */
  readonly crash: (nowMs: number) => void;
}

/**
 * Creates a deterministic model of one engine in virtual time.
 *
 * The engine batches continuously: each step gives one token to every
 * decoding sequence and prefills a chunk of prompt, at a cost that grows with
 * the context. A submission needs KV memory for its prompt and its whole
 * output, or runs in a reservation; without either it waits in a queue ordered
 * by priority, then age. `nowMs` must not decrease from one call to the next.
 *
 * @param options - Capacities, speeds and lags; all but the id have defaults.
 * @returns The model.
 *
 * @example
 * const engine = createEngineModel({ engineId: 'engine-1' });
 * engine.submit(submission, 0);
 * const outputs = engine.advance(1_000);
 */
export function createEngineModel(
  options: CreateEngineModelOptions,
): EngineModel {
  const settings = { ...ENGINE_MODEL_DEFAULTS, ...options };
  const reservations = createReservations();
  const feed = createCacheFeed({
    lagMs: settings.cacheEventLagMs,
    lossRate: settings.cacheEventLossRate,
    random: createRandom(settings.seed),
  });
  const cache = createPrefixCache({
    capacityTokens: settings.prefixCacheTokens,
    prefixTokensOf: settings.prefixTokensOf,
    onChange: (change, hash) => {
      feed.publish(change, hash, batch.clockMs());
    },
  });
  const batch = createBatch({ settings, reservations, cache });
  const history = createLoadHistory({
    lagMs: settings.loadLagMs,
    initial: batch.load(),
  });

  /** Runs the model up to `nowMs`, applies a change and records the load. */
  function applyAt<Result>(nowMs: number, change: () => Result): Result {
    batch.runUntil(nowMs);
    const result = change();
    batch.startIfIdle(nowMs);
    history.record(batch.load, nowMs);
    return result;
  }

  return {
    engineId: settings.engineId,
    submit: (submission, nowMs) =>
      applyAt(nowMs, () => batch.submit(submission)),
    cancel: (attemptId, nowMs) => {
      applyAt(nowMs, () => {
        batch.cancel(attemptId);
      });
    },
    nextChangeAtMs: batch.nextChangeAtMs,
    advance: (nowMs) => applyAt(nowMs, batch.takeOutputs),
    report: batch.report,
    reserve: (request, nowMs) =>
      applyAt(nowMs, () => {
        reservations.expire(nowMs, batch.isReservationInUse);
        return reservations.reserve(request, batch.freeKvTokens(), nowMs);
      }),
    free: (reservationId, nowMs) => {
      applyAt(nowMs, () => {
        reservations.free(reservationId);
      });
    },
    listReservations: (nowMs) =>
      applyAt(nowMs, () => {
        reservations.expire(nowMs, batch.isReservationInUse);
        return reservations.list(nowMs);
      }),
    load: (nowMs) => {
      applyAt(nowMs, () => undefined);
      return history.read(nowMs);
    },
    cacheEvents: feed.read,
    exportKv: batch.exportKv,
    importKv: (attemptId, kv) => {
      const blob = decodeKvBlob(kv);
      if (!blob) return importRefused;
      batch.importKv(attemptId, blob);
      return E.right(undefined);
    },
    usedKvTokens: batch.usedKvTokens,
    attemptIds: batch.attemptIds,
    crash: (nowMs) => {
      batch.runUntil(nowMs);
      batch.clear();
      reservations.clear();
      cache.clear();
      feed.reset();
    },
  };
}

const importRefused: E.Either<TargetError, void> = E.left({
  type: 'refused',
  reason: 'not an exported KV cache',
  retryAfterMs: undefined,
});
