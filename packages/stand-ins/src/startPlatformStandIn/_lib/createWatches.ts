import type { WatchBatch } from '@endivegate/contracts';
import type { ServerResponse } from 'node:http';

/** What a watch asks for. */
export interface WatchQuery {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly waitMs: number;
}

/** Watches that wait for a change. */
export interface Watches {
  /** Wakes the watches that a change concerns. */
  readonly wake: () => void;
  /** Waits for changes; ends early when the reader goes away. */
  readonly wait: (
    query: WatchQuery,
    response: ServerResponse,
  ) => Promise<WatchBatch>;
}

/**
 * Creates the waiting watches of a platform stand-in.
 *
 * @param read - Returns the changes a query asks for, without waiting.
 * @returns The watches, none waiting.
 */
export function createWatches(
  read: (query: WatchQuery) => WatchBatch,
): Watches {
  const waiting = new Set<() => void>();

  return {
    wake: () => {
      waiting.forEach((wake) => {
        wake();
      });
    },
    wait: async (query, response) => {
      const first = read(query);
      if (first.changes.length > 0 || query.waitMs === 0) return first;
      return new Promise((resolve) => {
        const finish = (): void => {
          waiting.delete(wake);
          clearTimeout(timer);
          resolve(read(query));
        };
        const wake = (): void => {
          if (read(query).changes.length > 0) finish();
        };
        const timer = setTimeout(finish, query.waitMs);
        response.once('close', finish);
        waiting.add(wake);
      });
    },
  };
}
