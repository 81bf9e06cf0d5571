import type {
  ExactInteger,
  ListedTarget,
} from '@endivegate/contracts/forwarding';
import type { Peer } from '@endivegate/core/forwarding';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayRuntime } from '../gatewayRuntime/index.ts';
import type { StorePosition } from '../storePort/index.ts';
import type { TargetChange } from './_lib/storeNews.ts';

/** Callbacks of a watch on the store; they are called after the state of the
 * gateway was updated. */
export interface StoreWatchHandlers {
  /** All targets were listed. */
  readonly onList: (
    targets: readonly ListedTarget[],
    at: StorePosition,
  ) => void;
  /** A watch ended, with or without changes. */
  readonly onWatched: (
    from: StorePosition,
    to: StorePosition,
    changes: readonly TargetChange[],
  ) => void;
  /** A call to the store failed. */
  readonly onFailed: () => void;
}

/** Options of `shareStore`. */
export interface ShareStoreOptions {
  readonly runtime: GatewayRuntime;
  readonly log: EventLog;
  readonly name: string;
  readonly dataCentre: string;
  /** Capacity relative to other entries; those with more watch first. */
  readonly weight: number;
  /** IP and port for news and snapshots; all entries use the same port. */
  readonly address: string;
  /** Longest time until the store answers a watch. */
  readonly answerMs: number;
  /**
   * Starts to follow the store, from a position or by listing it first, and
   * returns a function that stops.
   */
  readonly startWatch: (
    from: StorePosition | undefined,
    handlers: StoreWatchHandlers,
  ) => () => void;
  /** Called when a watcher has a newer configuration than this entry. */
  readonly onNewerConfig: (watcher: Peer) => void;
  /** Called when a watcher tells that the store was restored. */
  readonly onRestored: (era: ExactInteger) => void;
  /** Monotonic time in ms. */
  readonly now: () => number;
  readonly random?: () => number;
}
