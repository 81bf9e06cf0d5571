import type {
  KeyValue,
  PlatformError,
  PlatformPort,
  ServicePort,
} from '@endivegate/contracts';
import { CLAIM_RETENTION_MS, type OnceEffect } from '@endivegate/core';
import { expect } from 'chai';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { Runtime } from '../runtime/index.ts';
import { sweepShard } from './_lib/sweepShard.ts';
import { createOnceHandler, listClaims, settleClaim } from './index.ts';

/**
 * In-memory store. `failNext` makes the next write return an error; `applies`
 * tells whether the write takes effect nevertheless.
 */
function createStore() {
  const values = new Map<string, KeyValue>();
  let failure: { error: PlatformError; applies: boolean } | undefined;
  const compareAndSwap: PlatformPort['compareAndSwap'] = (put) => {
    const failed = failure;
    failure = undefined;
    const current = values.get(put.key);
    if (failed?.applies === false) return TE.left(failed.error);
    if ((current?.version ?? 0) !== put.expectedVersion) {
      return TE.left({ type: 'conflict', current });
    }
    const next = { ...put, version: put.expectedVersion + 1 };
    values.set(put.key, next);
    return failed === undefined ? TE.right(next) : TE.left(failed.error);
  };
  const platform = {
    compareAndSwap,
    get: (key) => TE.right(values.get(key)),
    list: (prefix) =>
      TE.right([...values.values()].filter((v) => v.key.startsWith(prefix))),
    compareAndDelete: ({ key }) => {
      values.delete(key);
      return TE.right(undefined);
    },
  } as Partial<PlatformPort> as PlatformPort;
  return {
    platform,
    values,
    failNext: (error: PlatformError, applies: boolean) => {
      failure = { error, applies };
    },
  };
}

const address = { workspace: 'w', service: 's', idempotencyKey: 'k' };
function putEffect(changes: object = {}): OnceEffect {
  return {
    type: 'once.put',
    requestId: 'r1',
    expectedVersion: 0,
    draft: {
      ...address,
      bodyHash: 'b',
      token: 't1',
      entryId: 'a',
      incarnation: 1,
      targetId: 's1',
      timeoutMs: 40_000,
      state: { type: 'claimed' },
    },
    ...changes,
  };
}

/** Runs effects one after another and returns the events they dispatch. */
async function run(
  store: ReturnType<typeof createStore>,
  effects: readonly OnceEffect[],
  nowMs = 1_000,
): Promise<unknown[]> {
  const events: unknown[] = [];
  const handle = createOnceHandler({
    platform: store.platform,
    services: {
      lookUpKey: () => TE.right({ type: 'absent' }),
    } as Partial<ServicePort> as ServicePort,
    findTarget: () => undefined,
    wallClockMs: () => nowMs,
  });
  for (const effect of effects) {
    await new Promise<void>((resolve) => {
      handle(effect, {
        dispatch: (event) => {
          events.push(event);
          resolve();
        },
      } as Partial<Runtime> as Runtime);
    });
  }
  return events;
}

const readEffect: OnceEffect = { type: 'once.read', requestId: 'r1', address };

describe('createOnceHandler', () => {
  it('creates a claim once and returns it to the second writer', async () => {
    const store = createStore();
    expect(
      await run(store, [readEffect, putEffect(), putEffect(), readEffect]),
    ).toMatchSnapshot();
    expect([...store.values.keys()]).toMatchSnapshot();
  });

  it('distinguishes a write without effect from one whose reply was lost', async () => {
    const store = createStore();
    store.failNext({ type: 'unreachable' }, false);
    const refused = await run(store, [putEffect()]);
    store.failNext({ type: 'replyLost' }, true);
    const lost = await run(store, [putEffect(), readEffect]);
    expect({ refused, lost }).toMatchSnapshot();
  });

  it('reports a failed look-up when the target is not known', async () => {
    const lookUp: OnceEffect = {
      type: 'once.lookUp',
      requestId: 'r1',
      targetId: 'gone',
      idempotencyKey: 'k',
    };
    expect(await run(createStore(), [lookUp])).toMatchSnapshot();
  });

  it('refuses a key whose timestamp exceeds the claim retention', async () => {
    const key = '00000000-0001-7000-8000-000000000000';
    const put = putEffect() as Extract<OnceEffect, { type: 'once.put' }>;
    const effect = { ...put, draft: { ...put.draft, idempotencyKey: key } };
    const young = await run(createStore(), [effect], CLAIM_RETENTION_MS);
    const old = await run(createStore(), [effect], CLAIM_RETENTION_MS + 1);
    expect({ young, old }).toMatchSnapshot();
  });
});

describe('settleClaim', () => {
  const settle = async (nowMs: number, state: object) => {
    const store = createStore();
    const put = putEffect() as Extract<OnceEffect, { type: 'once.put' }>;
    await run(
      store,
      [{ ...put, draft: { ...put.draft, state } } as OnceEffect],
      0,
    );
    const settlement = { ran: 'no', by: 'op' } as const;
    return settleClaim(store.platform, { address, settlement, nowMs })();
  };

  it('settles a claim in doubt only when its creator can no longer act on it', async () => {
    const results = await Promise.all([
      settle(59_000, { type: 'claimed' }),
      settle(60_000, { type: 'claimed' }),
      settle(60_000, { type: 'unknown', reason: 'cut' }),
      settle(60_000, { type: 'done' }),
    ]);
    expect(results).toMatchSnapshot();
  });
});

describe('listClaims and sweepShard', () => {
  it('keep claims in doubt of any age and delete expired settled claims', async () => {
    const store = createStore();
    const put = putEffect() as Extract<OnceEffect, { type: 'once.put' }>;
    const effects = ['done', 'claimed', 'notRun'].map((type) => ({
      ...put,
      draft: { ...put.draft, idempotencyKey: type, state: { type } },
    }));
    await run(store, effects as OnceEffect[], 0);
    const nowMs = CLAIM_RETENTION_MS + 3_600_001;
    const listed = await listClaims(store.platform, nowMs)();
    await Promise.all(
      Array.from({ length: 256 }, (_, shard) =>
        sweepShard(store.platform, { shard, nowMs }),
      ),
    );
    expect(listed).toMatchSnapshot();
    expect(store.values.size).to.equal(1);
  });
});
