import type { KeyValue, PlatformPort } from '@endivegate/contracts';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { setTimeout as sleep } from 'node:timers/promises';

/** An in-memory key-value service that counts its calls and written bytes. */
export interface MemoryStore {
  readonly platform: PlatformPort;
  readonly values: ReadonlyMap<string, KeyValue>;
  readonly counts: { reads: number; writes: number; writtenBytes: number };
}

/**
 * Creates an in-memory key-value service.
 *
 * @param latencyMs - Latency of each call; 0 for none.
 * @returns The service.
 */
export function createMemoryStore(latencyMs: number): MemoryStore {
  const values = new Map<string, KeyValue>();
  const counts = { reads: 0, writes: 0, writtenBytes: 0 };
  const wait = () => (latencyMs === 0 ? undefined : sleep(latencyMs));
  const platform: Partial<PlatformPort> = {
    get: (key) => async () => {
      counts.reads += 1;
      await wait();
      return TE.right(values.get(key))();
    },
    compareAndSwap:
      ({ key, value, expectedVersion }) =>
      async () => {
        counts.writes += 1;
        counts.writtenBytes += Buffer.byteLength(value);
        await wait();
        const current = values.get(key);
        if ((current?.version ?? 0) !== expectedVersion) {
          return TE.left({ type: 'conflict', current } as const)();
        }
        const next = { key, value, version: expectedVersion + 1 };
        values.set(key, next);
        return TE.right(next)();
      },
  };
  return { platform: platform as PlatformPort, values, counts };
}
