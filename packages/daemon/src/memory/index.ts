import type { EnginePort, Target } from '@endivegate/contracts';
import type { RootEffect } from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { EffectHandler } from '../runtime/index.ts';

/** Options of {@link createMemoryHandler}. */
export interface CreateMemoryHandlerOptions {
  readonly engines: EnginePort;
  readonly findTarget: (targetId: string) => Target | undefined;
  /** Called for each freed reservation, for logging. */
  readonly onFreed?: (targetId: string, reservationId: string) => void;
}

/**
 * Creates the handler that lists and frees reservations on engines.
 *
 * A failed free is not retried here; the next list contains the reservation
 * again.
 *
 * @param options - Engines, target lookup and callback.
 * @returns The handler.
 */
export function createMemoryHandler(
  options: CreateMemoryHandlerOptions,
): EffectHandler {
  const { engines, findTarget, onFreed } = options;
  return (effect: RootEffect, runtime) => {
    if (effect.type !== 'memory.list' && effect.type !== 'memory.free') return;
    const { targetId } = effect;
    const target = findTarget(targetId);
    if (target === undefined) return;
    if (effect.type === 'memory.list') {
      void engines
        .listReservations(target)()
        .then((listed) => {
          const reservations = E.isRight(listed) ? listed.right : undefined;
          runtime.dispatch({ type: 'memory.listed', targetId, reservations });
        });
      return;
    }
    void engines
      .freeReservation(target, effect.reservationId)()
      .then((freed) => {
        if (E.isRight(freed)) onFreed?.(targetId, effect.reservationId);
      });
  };
}
