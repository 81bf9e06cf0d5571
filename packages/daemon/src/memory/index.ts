import type { EnginePort, Target } from '@endivegate/contracts';
import type { RootEffect } from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { EffectHandler } from '../runtime/index.ts';

/** Options of {@link createMemoryHandler}. */
export interface CreateMemoryHandlerOptions {
  readonly engines: EnginePort;
  readonly findTarget: (targetId: string) => Target | undefined;
  /** Told of each reservation that was freed, for the log. */
  readonly onFreed?: (targetId: string, reservationId: string) => void;
}

/**
 * Creates the handler that lists and frees reservations on engines.
 *
 * A free that fails is not tried again here: the next list shows it.
 *
 * @param options - Engines and how to find them.
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
