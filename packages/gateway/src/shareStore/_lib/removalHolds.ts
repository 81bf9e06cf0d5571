import { LAPSED_ENTRY_GRACE_MS } from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../../gatewayRuntime/index.ts';
import type { StoreNews } from './storeNews.ts';

/** How long removals are held, as a watcher tells it. */
export type ToldHold = Pick<StoreNews, 'holdMs' | 'followedMs'>;

/** Holds of removals that watchers and other entries agree on. */
export interface RemovalHolds {
  /** What this entry tells the others. */
  readonly told: () => ToldHold;
  /** Ends the hold if a watcher has followed the store for long enough. */
  readonly endIfFollowed: (news: ToldHold) => void;
  /** Holds removals for a while, at least when they are held without end because this
   * entry lost the store. */
  readonly extend: (forMs: number) => void;
}

/** Options of {@link createRemovalHolds}. */
export interface CreateRemovalHoldsOptions {
  readonly runtime: GatewayRuntime;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/** Reads and changes the holds in the state of a gateway. */
export function createRemovalHolds({
  runtime,
  now,
}: CreateRemovalHoldsOptions): RemovalHolds {
  return {
    told() {
      const { holdRemovalsUntilMs, followedSinceMs = Infinity } =
        runtime.state().roster;
      const leftMs = Math.max(holdRemovalsUntilMs - now(), 0);
      return {
        holdMs: Math.round(Math.min(leftMs, LAPSED_ENTRY_GRACE_MS)),
        followedMs: Math.round(Math.max(now() - followedSinceMs, 0)),
      };
    },
    endIfFollowed({ followedMs = 0 }) {
      if (followedMs < LAPSED_ENTRY_GRACE_MS) return;
      runtime.dispatch({ type: 'roster.holdEnded', atMs: now() });
    },
    extend(forMs) {
      const { holdRemovalsUntilMs } = runtime.state().roster;
      const durationMs =
        holdRemovalsUntilMs === Infinity ? LAPSED_ENTRY_GRACE_MS : forMs;
      if (durationMs === 0) return;
      const untilMs = now() + durationMs;
      runtime.dispatch({ type: 'roster.removalsHeld', untilMs });
    },
  };
}
