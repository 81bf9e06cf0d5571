import type {
  PlatformError,
  PlatformPort,
  StoreCallOptions,
} from '@endivegate/contracts';
import {
  admitStoreCall,
  INITIAL_STORE_GATE,
  recordStoreReply,
} from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { Counter, type Registry } from 'prom-client';

/** Options of {@link createMeteredPlatform}. */
export interface CreateMeteredPlatformOptions {
  /** Registry for the counter `endivegate_store_calls_total`. */
  readonly registry: Registry;
  readonly nowMs?: () => number;
  readonly random?: () => number;
}

/**
 * Wraps the platform with call metrics, a rate limit and a circuit breaker.
 *
 * Every call is counted by purpose and outcome. A call over the entry's budget
 * fails with `rateLimited`, and a call while the store is down fails with
 * `unreachable`; neither leaves the process. They are counted under the
 * outcomes `overBudget` and `spared`, so that the other outcomes count exactly
 * the calls sent to the store.
 *
 * @param platform - The platform to wrap.
 * @param options - Metrics registry, clock and random numbers.
 * @returns The wrapped platform.
 */
export function createMeteredPlatform(
  platform: PlatformPort,
  options: CreateMeteredPlatformOptions,
): PlatformPort {
  const nowMs = options.nowMs ?? (() => performance.now());
  const random = options.random ?? Math.random;
  const calls = new Counter({
    name: 'endivegate_store_calls_total',
    help: 'Calls to the platform, by purpose and outcome.',
    labelNames: ['purpose', 'outcome'],
    registers: [options.registry],
  });
  let gate = INITIAL_STORE_GATE;

  function admit({ purpose }: StoreCallOptions): PlatformError | undefined {
    const step = admitStoreCall(gate, { purpose, atMs: nowMs() });
    gate = step.gate;
    switch (step.admission.type) {
      case 'admitted':
        return undefined;
      case 'down':
        calls.inc({ purpose, outcome: 'spared' });
        return { type: 'unreachable' };
      case 'overBudget':
        calls.inc({ purpose, outcome: 'overBudget' });
        return {
          type: 'rateLimited',
          retryAfterMs: step.admission.retryAfterMs,
        };
    }
  }

  const metered =
    <A>(
      callOptions: StoreCallOptions,
      call: TaskEither<PlatformError, A>,
    ): TaskEither<PlatformError, A> =>
    async () => {
      const refusal = admit(callOptions);
      if (refusal !== undefined) return E.left(refusal);
      const reply = await call();
      const outcome = E.isRight(reply) ? 'done' : reply.left.type;
      calls.inc({ purpose: callOptions.purpose, outcome });
      const isAnswered = outcome !== 'unreachable' && outcome !== 'replyLost';
      gate = recordStoreReply(gate, {
        isAnswered,
        atMs: nowMs(),
        random: random(),
      });
      return reply;
    };

  return {
    get: (key, o) => metered(o, platform.get(key, o)),
    list: (prefix, o) => metered(o, platform.list(prefix, o)),
    compareAndSwap: (put, o) => metered(o, platform.compareAndSwap(put, o)),
    compareAndDelete: (entry, o) =>
      metered(o, platform.compareAndDelete(entry, o)),
    watch: (query, o) => metered(o, platform.watch(query, o)),
    grantLease: (ttlMs, o) => metered(o, platform.grantLease(ttlMs, o)),
    renewLease: (leaseId, o) => metered(o, platform.renewLease(leaseId, o)),
    revokeLease: (leaseId, o) => metered(o, platform.revokeLease(leaseId, o)),
    instances: (o) => metered(o, platform.instances(o)),
  };
}
