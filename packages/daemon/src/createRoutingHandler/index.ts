import type {
  EnginePort,
  LoadReport,
  RoutingMessage,
  Target,
} from '@endivegate/contracts';
import type { RoutingEffect } from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { EffectHandler, Runtime } from '../runtime/index.ts';

/** Options of {@link createRoutingHandler}. */
export interface CreateRoutingHandlerOptions {
  readonly engines: EnginePort;
  readonly findTarget: (targetId: string) => Target | undefined;
  /** Sends a message to another entry; resolves to whether it was delivered. */
  readonly notifyPeer: (
    toEntryId: string,
    message: RoutingMessage,
  ) => Promise<boolean>;
  /**
   * Called for a reservation that could not be freed; the engine frees it at
   * the end of its lifetime.
   */
  readonly onReservationNotFreed?: (
    targetId: string,
    reservationId: string,
  ) => void;
  /** Waits before the next attempt to free a reservation. */
  readonly sleep?: (delayMs: number) => Promise<void>;
}

/** Attempts to free a reservation before it is left to expire. */
const MAX_FREE_ATTEMPTS = 5;

/** Delay before the second attempt to free; doubled for each further one. */
const FIRST_FREE_RETRY_DELAY_MS = 200;

/**
 * Creates the handler that runs the effects of the routing slice.
 *
 * A reservation whose reply was lost is reported as refused. The slice then
 * frees every part of it, whether the engine granted it or not.
 *
 * @param options - The engines and how to reach them and the other entries.
 * @returns The handler.
 *
 * @example
 * const routing = createRoutingHandler({ engines, findTarget, notifyPeer });
 */
export function createRoutingHandler(
  options: CreateRoutingHandlerOptions,
): EffectHandler {
  const { engines, findTarget } = options;
  const sleep =
    options.sleep ??
    ((delayMs: number) =>
      new Promise<void>((resolve) => setTimeout(resolve, delayMs)));

  async function readLoad(
    targetId: string,
    target: Target,
    runtime: Runtime,
  ): Promise<void> {
    const result = await engines.load(target)();
    const load: LoadReport | undefined = E.isRight(result)
      ? result.right
      : undefined;
    runtime.dispatch({ type: 'routing.loadRead', targetId, load });
  }

  async function readCache(
    effect: RoutingEffect & { readonly type: 'routing.readCache' },
    target: Target,
    runtime: Runtime,
  ): Promise<void> {
    const { targetId, afterSequence } = effect;
    const result = await engines.cacheEvents(target, afterSequence)();
    if (E.isLeft(result)) return;
    const events = result.right;
    runtime.dispatch({ type: 'routing.cacheRead', targetId, events });
  }

  async function reserve(
    effect: RoutingEffect & { readonly type: 'routing.reserve' },
    target: Target | undefined,
    runtime: Runtime,
  ): Promise<void> {
    const { requestId, targetId, reservationId, tokens, lifetimeMs } = effect;
    const result = target
      ? await engines.reserve(target, { reservationId, tokens, lifetimeMs })()
      : undefined;
    const granted = result !== undefined && E.isRight(result);
    runtime.dispatch({
      type: 'routing.reserved',
      requestId,
      targetId,
      granted,
    });
  }

  async function free(
    target: Target,
    reservationId: string,
    attempt = 1,
  ): Promise<void> {
    const result = await engines.freeReservation(target, reservationId)();
    if (E.isRight(result)) return;
    if (attempt >= MAX_FREE_ATTEMPTS) {
      options.onReservationNotFreed?.(target.targetId, reservationId);
      return;
    }
    await sleep(FIRST_FREE_RETRY_DELAY_MS * 2 ** (attempt - 1));
    await free(target, reservationId, attempt + 1);
  }

  function runEffect(
    effect: RoutingEffect,
    runtime: Runtime,
  ): Promise<unknown> {
    if (effect.type === 'routing.sendPeer') {
      return options.notifyPeer(effect.toEntryId, effect.message);
    }
    const target = findTarget(effect.targetId);
    if (effect.type === 'routing.reserve') {
      return reserve(effect, target, runtime);
    }
    if (!target) return Promise.resolve();
    switch (effect.type) {
      case 'routing.readLoad':
        return readLoad(effect.targetId, target, runtime);
      case 'routing.readCache':
        return readCache(effect, target, runtime);
      case 'routing.freeReservation':
        return free(target, effect.reservationId);
    }
  }

  return (effect, runtime) => {
    if (!isRoutingEffect(effect)) return;
    void runEffect(effect, runtime);
  };
}

function isRoutingEffect(effect: {
  readonly type: string;
}): effect is RoutingEffect {
  return effect.type.startsWith('routing.');
}
