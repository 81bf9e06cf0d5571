import type { WatchBatch } from '@endivegate/contracts';
import type { ServerResponse } from 'node:http';

/** Parameters of a watch request. */
export interface WatchQuery {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly waitMs: number;
}

/** Long-polling watches that wait for a change. */
export interface Watches {
  /** Completes the waiting watches that have new changes. */
  readonly notify: () => void;
  /** Waits for changes, at most `waitMs` or until the client disconnects. */
  readonly wait: (
    query: WatchQuery,
    response: ServerResponse,
  ) => Promise<WatchBatch>;
}

/**
 * Creates the long-polling watches of a platform stand-in.
 *
 * @param read - Returns the changes that match a query, without waiting.
 * @returns The watches, initially none.
 */
export function createWatches(
  read: (query: WatchQuery) => WatchBatch,
): Watches {
  const waiting = new Set<() => void>();

  return {
    notify: () => {
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
