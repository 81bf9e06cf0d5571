import * as TE from 'fp-ts/lib/TaskEither.js';
import type {
  KeyValue,
  PlatformError,
  PlatformPort,
} from '@endivegate/contracts';

/** Fault to inject into one call. */
export type Fault = 'none' | 'unreachable' | 'replyLost';

/** Options of {@link createFakeStore}. */
export interface CreateFakeStoreOptions {
  /** Delays a call; awaited before its effect and before its reply. */
  readonly schedule?: (name: string) => Promise<unknown>;
  readonly fault?: (name: string) => Fault;
}

/** An in-memory key-value service with fault injection. */
export interface FakeStore {
  readonly platform: PlatformPort;
  readonly values: Map<string, KeyValue>;
}

/**
 * Creates an in-memory key-value service.
 *
 * @param options - Scheduling of calls, and the faults to inject.
 * @returns The service and its stored values.
 */
export function createFakeStore(
  options: CreateFakeStoreOptions = {},
): FakeStore {
  const schedule = options.schedule ?? (() => Promise.resolve());
  const fault = options.fault ?? (() => 'none');
  const values = new Map<string, KeyValue>();

  const call =
    <A>(
      name: string,
      effect: () => TE.TaskEither<PlatformError, A>,
    ): TE.TaskEither<PlatformError, A> =>
    async () => {
      await schedule(name);
      const kind = fault(name);
      if (kind === 'unreachable') return TE.left({ type: kind } as const)();
      const result = await effect()();
      await schedule(`${name} reply`);
      return kind === 'replyLost' ? TE.left({ type: kind } as const)() : result;
    };

  const platform = {
    get: (key) => call(`get ${key}`, () => TE.right(values.get(key))),
    list: (prefix) =>
      call(`list ${prefix}`, () =>
        TE.right([...values.values()].filter((v) => v.key.startsWith(prefix))),
      ),
    compareAndSwap: ({ key, value, expectedVersion }) =>
      call(`swap ${key}`, () => {
        const current = values.get(key);
        if ((current?.version ?? 0) !== expectedVersion) {
          return TE.left({ type: 'conflict', current });
        }
        const next = { key, value, version: expectedVersion + 1 };
        values.set(key, next);
        return TE.right(next);
      }),
    compareAndDelete: ({ key, expectedVersion }) =>
      call(`delete ${key}`, () => {
        const current = values.get(key);
        if (current?.version !== expectedVersion) {
          return TE.left({ type: 'conflict', current });
        }
        values.delete(key);
        return TE.right(undefined);
      }),
    grantLease: (ttlMs) =>
      call('grant', () => TE.right({ leaseId: `lease-${values.size}`, ttlMs })),
    revokeLease: (leaseId) =>
      call(`revoke ${leaseId}`, () => TE.right(undefined)),
  } satisfies Partial<PlatformPort>;
  return { platform: platform as unknown as PlatformPort, values };
}
