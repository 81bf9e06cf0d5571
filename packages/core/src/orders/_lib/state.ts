import type {
  EngineAssignment,
  EngineOrder,
  Target,
  WantedModel,
} from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import type { PlannedEngine } from '../../planEngines/index.ts';

/** Time to live of a placing entry's lease. */
export const PLACING_LEASE_TTL_MS = 15_000;

/** Time after which a lease is renewed, from its last acquisition or renewal. */
export const PLACING_RENEW_AFTER_MS = 5_000;

/** Timeout of an order to an engine. */
export const ORDER_TIMEOUT_MS = 2_000;

/** Time before the expiry of a lease by which every order must have ended. */
export const LEASE_MARGIN_MS = 2_000;

/**
 * Time for which a new lease holder sends no orders, so that the last order of
 * the previous holder has ended.
 */
export const TAKEOVER_DELAY_MS = ORDER_TIMEOUT_MS + LEASE_MARGIN_MS;

/** Interval between two reads of an engine's assignment. */
export const READ_BACK_PERIOD_MS = 10_000;

/** Time after which an order that the engine has not completed is sent again. */
export const LOAD_TIMEOUT_MS = 600_000;

/** Maximum number of concurrent loads from the weight store, for all models. */
export const MAX_FLEET_LOADS = 8;

/** Maximum delay between two attempts to acquire a lease. */
export const MAX_ACQUIRE_RETRY_MS = 10_000;

/** A lease held by this entry. Times are those of its monotonic clock. */
export interface PlacingLease {
  readonly leaseId: string;
  readonly fencingNumber: number;
  /** Expiry of the lease, counted from before the call, so never too late. */
  readonly validUntilMs: number;
  /** Earliest time at which the holder may send orders. */
  readonly ordersFromMs: number;
  readonly renewAtMs: number;
}

/** State of this entry as a possible placing entry of one model. */
export interface PlacerState {
  readonly lease: PlacingLease | undefined;
  /** Whether a lease call is in progress. */
  readonly isBusy: boolean;
  /** Consecutive failed lease calls. */
  readonly failures: number;
  readonly nextAttemptAtMs: number;
}

/** State of an engine that this entry sends orders to. */
export interface OrderedEngine {
  /** Last assignment read back from the engine. */
  readonly seen: EngineAssignment | undefined;
  /** Whether an order or a read-back is in progress. */
  readonly isBusy: boolean;
  /** Time of the last read-back. */
  readonly readAtMs: number;
  /** Time at which the last order that may have been applied ended. */
  readonly orderedAtMs: number | undefined;
  readonly lastOrdered: EngineAssignment | undefined;
}

/** State of the orders slice. */
export interface OrdersState {
  readonly selfId: string;
  readonly isLeaving: boolean;
  readonly liveIds: readonly string[];
  readonly models: readonly WantedModel[];
  readonly engines: readonly Target[];
  readonly plan: readonly PlannedEngine[];
  /** State of this entry as a placing entry, by model. */
  readonly placers: ReadonlyMap<string, PlacerState>;
  /** Engines that this entry sends orders to, by target id. */
  readonly ordered: ReadonlyMap<string, OrderedEngine>;
}

/** Events of the orders slice. */
export type OrdersEvent = EventBase &
  (
    | {
        readonly type: 'orders.leaseAcquired';
        readonly model: string;
        readonly leaseId: string;
        readonly fencingNumber: number;
        /** Time just before the lease was requested. */
        readonly askedAtMs: number;
      }
    | { readonly type: 'orders.leaseNotAcquired'; readonly model: string }
    | {
        readonly type: 'orders.leaseRenewed';
        readonly model: string;
        readonly leaseId: string;
        readonly askedAtMs: number;
      }
    | {
        readonly type: 'orders.leaseNotRenewed';
        readonly model: string;
        readonly leaseId: string;
        /** Whether the store reported that the lease no longer exists. */
        readonly isLapsed: boolean;
      }
    /** An engine's assignment was read, or could not be read. */
    | {
        readonly type: 'orders.assignmentRead';
        readonly targetId: string;
        readonly assignment: EngineAssignment | undefined;
      }
    /** An order ended. Unless it was refused, it may have been applied. */
    | {
        readonly type: 'orders.orderEnded';
        readonly targetId: string;
        readonly model: string;
        readonly outcome: 'taken' | 'unknown' | 'refused';
      }
  );

/** Effects of the orders slice. */
export type OrdersEffect =
  | { readonly type: 'orders.acquire'; readonly model: string }
  | {
      readonly type: 'orders.renew';
      readonly model: string;
      readonly leaseId: string;
    }
  | { readonly type: 'orders.release'; readonly leaseId: string }
  | { readonly type: 'orders.readBack'; readonly targetId: string }
  | {
      readonly type: 'orders.send';
      readonly targetId: string;
      readonly model: string;
      readonly order: EngineOrder;
      /** Latest time, by the entry's monotonic clock, to send the order. */
      readonly sendUntilMs: number;
    };
