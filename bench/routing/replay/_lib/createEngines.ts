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

/** Engine models driven by the event queue of a replay. */
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
  readonly replayReservesMemory: boolean;
  readonly seed: number;
  readonly now: () => number;
  readonly after: (delayMs: number, run: () => void) => void;
  readonly dispatch: (entry: number, event: Unstamped<RootEvent>) => void;
}

/** Lifetime of reservations that the replay makes on behalf of a policy. */
const REPLAY_RESERVATION_LIFETIME_MS = 3_600_000;

/**
 * Creates engine models that send their events to entries as simulated time
 * advances.
 *
 * @param options - Engines, clock, scheduler and event handler.
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
  const replayReservations = new Map<string, readonly string[]>();
  const scheduledAtMs = new Map<string, number>();
  const modelOf = (targetId: string): EngineModel => models.get(targetId)!;

  function scheduleAdvance(targetId: string): void {
    const atMs = modelOf(targetId).nextChangeAtMs();
    if (atMs === undefined || scheduledAtMs.get(targetId) === atMs) return;
    scheduledAtMs.set(targetId, atMs);
    options.after(Math.max(0, atMs - options.now()), () => {
      if (scheduledAtMs.get(targetId) !== atMs) return;
      scheduledAtMs.delete(targetId);
      advance(targetId);
    });
  }

  function advance(targetId: string): void {
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
    scheduleAdvance(targetId);
  }

  function release(attemptId: string): void {
    owners.delete(attemptId);
    replayReservations.get(attemptId)?.forEach((engineId) => {
      modelOf(engineId).free(attemptId, options.now());
      scheduleAdvance(engineId);
    });
    replayReservations.delete(attemptId);
  }

  /**
   * Reserves memory on the target, then on the engines with most free memory;
   * all or nothing.
   */
  function reserveForLongPrompt(
    targetId: string,
    need: ReplaySubmission,
  ): boolean {
    const reservationId = need.attemptId;
    const byFreeTokens = [...models.values()]
      .map((model) => ({
        engineId: model.engineId,
        free: options.kvCapacityTokens - model.usedKvTokens(),
      }))
      .filter((one) => one.free > 0)
      .toSorted((a, b) => b.free - a.free);
    const first = byFreeTokens.filter((one) => one.engineId === targetId);
    const others = byFreeTokens.filter((one) => one.engineId !== targetId);
    if (first.length === 0) return false;
    let remainingTokens = need.promptTokens + need.maxOutputTokens;
    const parts = [...first, ...others].flatMap(({ engineId, free }) => {
      const tokens = Math.min(free, remainingTokens);
      remainingTokens -= tokens;
      return tokens > 0 ? [{ engineId, tokens }] : [];
    });
    if (remainingTokens > 0) return false;
    parts.forEach(({ engineId, tokens }) => {
      const lifetimeMs = REPLAY_RESERVATION_LIFETIME_MS;
      reserve(engineId, { reservationId, tokens, lifetimeMs });
    });
    const engineIds = parts.map(({ engineId }) => engineId);
    replayReservations.set(reservationId, engineIds);
    return true;
  }

  function reserve(
    targetId: string,
    wanted: Parameters<EngineModel['reserve']>[0],
  ): boolean {
    const granted = modelOf(targetId).reserve(wanted, options.now());
    scheduleAdvance(targetId);
    return E.isRight(granted);
  }

  return {
    submit: (entry, targetId, submission) => {
      const { requestId, attemptId } = submission;
      const needsMore =
        options.replayReservesMemory &&
        submission.promptTokens + submission.maxOutputTokens >
          options.kvCapacityTokens;
      const reservationId =
        needsMore && reserveForLongPrompt(targetId, submission)
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
      scheduleAdvance(targetId);
    },
    cancel: (targetId, attemptId) => {
      models.get(targetId)?.cancel(attemptId, options.now());
      release(attemptId);
      if (models.has(targetId)) scheduleAdvance(targetId);
    },
    reserve,
    free: (targetId, reservationId) => {
      modelOf(targetId).free(reservationId, options.now());
      scheduleAdvance(targetId);
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
