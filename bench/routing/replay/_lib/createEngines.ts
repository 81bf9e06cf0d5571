import type {
  LoadReport,
  CacheEvent,
  TargetError,
} from '@endivegate/contracts';
import type { RootEvent } from '@endivegate/core';
import {
  createEngineModel,
  type EngineModel,
  type ModelSubmission,
} from '@endivegate/stand-ins';
import * as E from 'fp-ts/lib/Either.js';

type Unstamped<T> = T extends unknown ? Omit<T, 'atMs' | 'random'> : never;

/** A submission with the request it belongs to. */
export type ReplaySubmission = ModelSubmission & { readonly requestId: string };

/** Engine models on the agenda of a replay. */
export interface Engines {
  readonly submit: (
    entry: number,
    targetId: string,
    submission: ReplaySubmission,
  ) => void;
  readonly cancel: (targetId: string, attemptId: string) => void;
  readonly reserve: (
    targetId: string,
    wanted: {
      readonly reservationId: string;
      readonly tokens: number;
      readonly lifetimeMs: number;
    },
  ) => boolean;
  readonly free: (targetId: string, reservationId: string) => void;
  readonly load: (targetId: string) => LoadReport;
  readonly cacheEvents: (
    targetId: string,
    afterSequence: number,
  ) => readonly CacheEvent[];
  readonly usedKvTokens: () => number;
}

/** Options of {@link createEngines}. */
export interface CreateEnginesOptions {
  readonly engineIds: readonly string[];
  readonly kvCapacityTokens: number;
  readonly reservesForIt: boolean;
  readonly seed: number;
  readonly now: () => number;
  readonly after: (delayMs: number, run: () => void) => void;
  readonly dispatch: (entry: number, event: Unstamped<RootEvent>) => void;
}

/** Lifetime of reservations that the replay makes by itself. */
const OWN_LIFETIME_MS = 3_600_000;

/**
 * Creates engine models that report to entries as time passes.
 *
 * @param options - Engines, time and where events go.
 * @returns The engines.
 */
export function createEngines(options: CreateEnginesOptions): Engines {
  const models = new Map<string, EngineModel>(
    options.engineIds.map((engineId, n) => [
      engineId,
      createEngineModel({
        engineId,
        kvCapacityTokens: options.kvCapacityTokens,
        emits: 'firstToken',
        seed: options.seed + n,
      }),
    ]),
  );
  const owners = new Map<string, { entry: number; requestId: string }>();
  const ownReservations = new Map<string, readonly string[]>();
  const wakeAtMs = new Map<string, number>();
  const modelOf = (targetId: string): EngineModel => models.get(targetId)!;

  function wake(targetId: string): void {
    const atMs = modelOf(targetId).nextChangeAtMs();
    if (atMs === undefined || wakeAtMs.get(targetId) === atMs) return;
    wakeAtMs.set(targetId, atMs);
    options.after(Math.max(0, atMs - options.now()), () => {
      if (wakeAtMs.get(targetId) !== atMs) return;
      wakeAtMs.delete(targetId);
      run(targetId);
    });
  }

  function run(targetId: string): void {
    modelOf(targetId)
      .advance(options.now())
      .forEach((output) => {
        const owner = owners.get(output.attemptId);
        if (!owner || output.type === 'started') return;
        const { requestId, entry } = owner;
        const ids = { requestId, attemptId: output.attemptId, targetId };
        if (output.type === 'token') {
          options.dispatch(entry, { type: 'attempt.firstToken', ...ids });
          return;
        }
        release(output.attemptId);
        options.dispatch(entry, {
          type: 'attempt.ended',
          ...ids,
          end: output.type === 'end' ? { type: 'done' } : timedOut,
          outputTokens: output.outputTokens,
          sent: true,
        });
      });
    wake(targetId);
  }

  function release(attemptId: string): void {
    owners.delete(attemptId);
    ownReservations.get(attemptId)?.forEach((engineId) => {
      modelOf(engineId).free(attemptId, options.now());
      wake(engineId);
    });
    ownReservations.delete(attemptId);
  }

  /** Reserves on the target and the emptiest others, or on none. */
  function reserveForIt(targetId: string, need: ReplaySubmission): boolean {
    const reservationId = need.attemptId;
    const byRoom = [...models.values()]
      .map((model) => ({
        engineId: model.engineId,
        free: options.kvCapacityTokens - model.usedKvTokens(),
      }))
      .filter((one) => one.free > 0)
      .toSorted((a, b) => b.free - a.free);
    const first = byRoom.filter((one) => one.engineId === targetId);
    const others = byRoom.filter((one) => one.engineId !== targetId);
    if (first.length === 0) return false;
    let left = need.promptTokens + need.maxOutputTokens;
    const parts = [...first, ...others].flatMap(({ engineId, free }) => {
      const tokens = Math.min(free, left);
      left -= tokens;
      return tokens > 0 ? [{ engineId, tokens }] : [];
    });
    if (left > 0) return false;
    parts.forEach(({ engineId, tokens }) => {
      const lifetimeMs = OWN_LIFETIME_MS;
      reserve(engineId, { reservationId, tokens, lifetimeMs });
    });
    const engineIds = parts.map(({ engineId }) => engineId);
    ownReservations.set(reservationId, engineIds);
    return true;
  }

  function reserve(
    targetId: string,
    wanted: Parameters<EngineModel['reserve']>[0],
  ): boolean {
    const granted = modelOf(targetId).reserve(wanted, options.now());
    wake(targetId);
    return E.isRight(granted);
  }

  return {
    submit: (entry, targetId, submission) => {
      const { requestId, attemptId } = submission;
      const needsMore =
        options.reservesForIt &&
        submission.promptTokens + submission.maxOutputTokens >
          options.kvCapacityTokens;
      const reservationId =
        needsMore && reserveForIt(targetId, submission)
          ? attemptId
          : submission.reservationId;
      owners.set(attemptId, { entry, requestId });
      const result = modelOf(targetId).submit(
        { ...submission, reservationId },
        options.now(),
      );
      if (E.isLeft(result)) {
        release(attemptId);
        options.dispatch(entry, {
          type: 'attempt.ended',
          requestId,
          attemptId,
          targetId,
          end: result.left,
          outputTokens: 0,
          sent: true,
        });
      }
      wake(targetId);
    },
    cancel: (targetId, attemptId) => {
      models.get(targetId)?.cancel(attemptId, options.now());
      release(attemptId);
      if (models.has(targetId)) wake(targetId);
    },
    reserve,
    free: (targetId, reservationId) => {
      modelOf(targetId).free(reservationId, options.now());
      wake(targetId);
    },
    load: (targetId) => modelOf(targetId).load(options.now()),
    cacheEvents: (targetId, afterSequence) =>
      modelOf(targetId).cacheEvents(afterSequence, options.now()),
    usedKvTokens: () =>
      [...models.values()].reduce(
        (sum, model) => sum + model.usedKvTokens(),
        0,
      ),
  };
}

const timedOut: TargetError = { type: 'timedOut' };
