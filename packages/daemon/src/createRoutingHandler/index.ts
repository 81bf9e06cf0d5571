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
  /** Sends a message to another entry; resolves whether it was delivered. */
  readonly notifyPeer: (
    toEntryId: string,
    message: RoutingMessage,
  ) => Promise<boolean>;
  /** Told of memory that could not be freed; its lifetime frees it. */
  readonly onReservationNotFreed?: (
    targetId: string,
    reservationId: string,
  ) => void;
  /** Waits between two tries to free memory. */
  readonly sleep?: (delayMs: number) => Promise<void>;
}

/** Tries to free memory before it is left to its lifetime. */
const FREE_ATTEMPTS = 5;

/** Wait before the second try to free memory; doubled for each further one. */
const FREE_RETRY_MS = 200;

/**
 * Creates the handler that runs the effects of the routing slice.
 *
 * A reservation whose reply was lost counts as refused: the slice then frees
 * every part, granted or not.
 *
 * @param options - Engines, other entries and how to reach them.
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
    if (attempt >= FREE_ATTEMPTS) {
      options.onReservationNotFreed?.(target.targetId, reservationId);
      return;
    }
    await sleep(FREE_RETRY_MS * 2 ** (attempt - 1));
    await free(target, reservationId, attempt + 1);
  }

  function run(effect: RoutingEffect, runtime: Runtime): Promise<unknown> {
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
      case 'routing.free':
        return free(target, effect.reservationId);
    }
  }

  return (effect, runtime) => {
    if (!isRoutingEffect(effect)) return;
    void run(effect, runtime);
  };
}

function isRoutingEffect(effect: {
  readonly type: string;
}): effect is RoutingEffect {
  return effect.type.startsWith('routing.');
}
