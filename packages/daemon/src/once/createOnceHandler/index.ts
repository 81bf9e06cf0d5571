import type {
  Claim,
  PlatformPort,
  ServicePort,
  Target,
} from '@endivegate/contracts';
import {
  CLAIM_RETENTION_MS,
  type ClaimPutResult,
  type ClaimReadResult,
  type OnceEffect,
  type OnceEvent,
  type RootEffect,
} from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { EffectHandler, Runtime } from '../../runtime/index.ts';
import { toStoredAnswer } from '../../storedAnswer/index.ts';
import {
  claimKey,
  keyTimeMs,
  parseClaim,
  resultOfError,
} from '../_lib/claimStore.ts';
import { sweepShard } from '../_lib/sweepShard.ts';

/** Options of {@link createOnceHandler}. */
export interface CreateOnceHandlerOptions {
  readonly platform: PlatformPort;
  readonly services: ServicePort;
  readonly findTarget: (targetId: string) => Target | undefined;
  /** Wall clock; stamped into claims. */
  readonly wallClockMs?: () => number;
  /** Time given to each call of the store. */
  readonly storeTimeoutMs?: number;
  /** Time given to a service's look-up. */
  readonly lookupTimeoutMs?: number;
}

type EffectOf<Type extends OnceEffect['type']> = Extract<
  OnceEffect,
  { readonly type: Type }
>;
type ResultOf<Type extends OnceEvent['type']> = Extract<
  OnceEvent,
  { readonly type: Type }
>['result'];

const defaults = {
  wallClockMs: Date.now,
  storeTimeoutMs: 1_000,
  lookupTimeoutMs: 2_000,
};

/**
 * Creates the handler that runs the effects of the once slice over the store.
 *
 * Every put, read and look-up ends in exactly one event.
 *
 * @param options - Ports and clocks.
 * @returns The handler.
 */
export function createOnceHandler(
  options: CreateOnceHandlerOptions,
): EffectHandler {
  const { platform, services, findTarget, ...rest } = {
    ...defaults,
    ...options,
  };
  const call = {
    purpose: 'claims',
    timeoutMs: rest.storeTimeoutMs,
  } as const;

  async function put(effect: EffectOf<'once.put'>): Promise<ClaimPutResult> {
    const nowMs = rest.wallClockMs();
    const { draft, expectedVersion } = effect;
    if (expectedVersion === 0 && isExpired(draft.idempotencyKey, nowMs)) {
      return { type: 'keyExpired' };
    }
    const claim: Claim = { ...draft, createdAtMs: nowMs, changedAtMs: nowMs };
    const written = await platform.compareAndSwap(
      { key: claimKey(draft), value: JSON.stringify(claim), expectedVersion },
      call,
    )();
    return E.isRight(written)
      ? { type: 'written', version: written.right.version }
      : resultOfError(written.left, rest.wallClockMs());
  }

  async function read(effect: EffectOf<'once.read'>): Promise<ClaimReadResult> {
    const stored = await platform.get(claimKey(effect.address), call)();
    if (E.isLeft(stored)) return { type: 'failed' };
    if (stored.right === undefined) return { type: 'absent' };
    const found = parseClaim(stored.right, rest.wallClockMs());
    return found === undefined ? { type: 'failed' } : { type: 'found', found };
  }

  async function lookUp(
    effect: EffectOf<'once.lookUp'>,
  ): Promise<ResultOf<'once.lookedUp'>> {
    const target = findTarget(effect.targetId);
    if (target === undefined) return { type: 'failed' };
    const known = await services.lookUpKey(
      target,
      effect.idempotencyKey,
      rest.lookupTimeoutMs,
    )();
    if (E.isLeft(known)) return { type: 'failed' };
    return known.right.type === 'done'
      ? { type: 'done', answer: toStoredAnswer(known.right.answer) }
      : known.right;
  }

  return (effect: RootEffect, runtime: Runtime) => {
    switch (effect.type) {
      case 'once.put':
        void put(effect).then((result) => {
          const { requestId } = effect;
          runtime.dispatch({ type: 'once.putDone', requestId, result });
        });
        return;
      case 'once.read':
        void read(effect).then((result) => {
          const { requestId } = effect;
          runtime.dispatch({ type: 'once.readDone', requestId, result });
        });
        return;
      case 'once.lookUp':
        void lookUp(effect).then((result) => {
          const { requestId } = effect;
          runtime.dispatch({ type: 'once.lookedUp', requestId, result });
        });
        return;
      case 'once.sweep':
        void sweepShard(platform, {
          shard: effect.shard,
          nowMs: rest.wallClockMs(),
        });
        return;
      default:
    }
  };
}

function isExpired(idempotencyKey: string, nowMs: number): boolean {
  const createdAtMs = keyTimeMs(idempotencyKey);
  return createdAtMs !== undefined && nowMs - createdAtMs >= CLAIM_RETENTION_MS;
}
