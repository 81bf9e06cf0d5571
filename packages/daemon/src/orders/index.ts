import type {
  EnginePort,
  PlatformPort,
  Target,
  TargetError,
} from '@endivegate/contracts';
import type { OrdersEffect } from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { EffectHandler, Runtime } from '../runtime/index.ts';
import { acquirePlacerLease } from './acquirePlacerLease/index.ts';

/** Options of {@link createOrdersHandler}. */
export interface CreateOrdersHandlerOptions {
  readonly platform: PlatformPort;
  readonly engines: Pick<EnginePort, 'order' | 'assignment'>;
  readonly findTarget: (targetId: string) => Target | undefined;
  readonly entryId: string;
  /** Returns a new unique token for each attempt to acquire a lease. */
  readonly newToken: () => string;
}

/** Timeout of lease calls to the platform. */
const LEASE_CALL_TIMEOUT_MS = 2_000;

/**
 * Creates the handler that holds placer leases and sends orders to engines.
 *
 * @param options - The platform, the engines and this entry.
 * @returns The handler.
 */
export function createOrdersHandler(
  options: CreateOrdersHandlerOptions,
): EffectHandler {
  return (effect, runtime) => {
    switch (effect.type) {
      case 'orders.acquire':
        void acquire(options, effect.model, runtime);
        return;
      case 'orders.renew':
        void renew(options, effect, runtime);
        return;
      case 'orders.release':
        void options.platform.revokeLease(effect.leaseId, leaseCall)();
        return;
      case 'orders.readBack':
        void readAssignment(options, effect.targetId, runtime);
        return;
      case 'orders.send':
        void send(options, effect, runtime);
        return;
      default:
    }
  };
}

const leaseCall = {
  purpose: 'leases',
  timeoutMs: LEASE_CALL_TIMEOUT_MS,
} as const;

async function acquire(
  options: CreateOrdersHandlerOptions,
  model: string,
  runtime: Runtime,
): Promise<void> {
  const askedAtMs = runtime.nowMs();
  const acquired = await acquirePlacerLease(options.platform, {
    model,
    entryId: options.entryId,
    token: options.newToken(),
  })();
  runtime.dispatch(
    E.isRight(acquired)
      ? { type: 'orders.leaseAcquired', model, askedAtMs, ...acquired.right }
      : { type: 'orders.leaseNotAcquired', model },
  );
}

async function renew(
  options: CreateOrdersHandlerOptions,
  { model, leaseId }: Extract<OrdersEffect, { type: 'orders.renew' }>,
  runtime: Runtime,
): Promise<void> {
  const askedAtMs = runtime.nowMs();
  const renewed = await options.platform.renewLease(leaseId, leaseCall)();
  runtime.dispatch(
    E.isRight(renewed)
      ? { type: 'orders.leaseRenewed', model, leaseId, askedAtMs }
      : {
          type: 'orders.leaseNotRenewed',
          model,
          leaseId,
          isLapsed: renewed.left.type === 'leaseLapsed',
        },
  );
}

async function readAssignment(
  options: CreateOrdersHandlerOptions,
  targetId: string,
  runtime: Runtime,
): Promise<void> {
  const target = options.findTarget(targetId);
  const result = target && (await options.engines.assignment(target)());
  const assignment = result && E.isRight(result) ? result.right : undefined;
  runtime.dispatch({ type: 'orders.assignmentRead', targetId, assignment });
}

async function send(
  options: CreateOrdersHandlerOptions,
  effect: Extract<OrdersEffect, { type: 'orders.send' }>,
  runtime: Runtime,
): Promise<void> {
  const { targetId, model, order } = effect;
  const target = options.findTarget(targetId);
  const isTooLate = runtime.nowMs() > effect.sendUntilMs;
  const outcome =
    target === undefined || isTooLate
      ? 'unknown'
      : E.match(
          toOrderOutcome,
          () => 'taken' as const,
        )(await options.engines.order(target, order)());
  runtime.dispatch({ type: 'orders.orderEnded', targetId, model, outcome });
}

function toOrderOutcome(error: TargetError): 'refused' | 'unknown' {
  return error.type === 'refused' ? 'refused' : 'unknown';
}
