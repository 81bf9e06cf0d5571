import type { ShutdownBudget } from '@endivegate/core/forwarding';
import type { Shutdown } from '../../forwardRequest/types.ts';

/** Controls the shutdown of an entry. */
export interface ShutdownState extends Shutdown {
  /** Begins the shutdown, at a monotonic time in ms that may have passed. */
  readonly begin: (atMs: number) => void;
  /** Ends the grace period: calls the listeners, whose requests end with it. */
  readonly end: () => void;
}

/** Options of {@link createShutdownState}. */
export interface CreateShutdownStateOptions {
  readonly budget: Pick<ShutdownBudget, 'addressesMs' | 'endMs'>;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/** Creates the state of an entry that does not shut down yet. */
export function createShutdownState({
  budget,
  now,
}: CreateShutdownStateOptions): ShutdownState {
  const listeners = new Set<() => void>();
  const { addressesMs, endMs } = budget;
  let sinceMs: number | undefined;
  let isEnded = false;
  return {
    begin(atMs) {
      sinceMs ??= atMs;
    },
    end() {
      isEnded = true;
      [...listeners].forEach((listener) => {
        listener();
      });
    },
    grace() {
      if (sinceMs === undefined) return undefined;
      const elapsedMs = now() - sinceMs;
      const leftMs = isEnded ? 0 : Math.max(endMs - elapsedMs, 0);
      return { elapsedMs, leftMs, addressesMs };
    },
    onEnd(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
