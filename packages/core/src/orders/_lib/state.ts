import type {
  EngineAssignment,
  EngineOrder,
  Target,
  WantedModel,
} from '@endivegate/contracts';
import type { EventBase } from '../../events/index.ts';
import type { PlannedEngine } from '../../planEngines/index.ts';

/** Lifetime of a placing entry's lease. */
export const PLACING_LEASE_TTL_MS = 15_000;

/** Age from which a lease is renewed. */
export const PLACING_RENEW_AFTER_MS = 5_000;

/** Time an engine has to take an order. */
export const ORDER_TIMEOUT_MS = 2_000;

/** Part of a lease's end in which its holder gives no order. */
export const LEASE_MARGIN_MS = 2_000;

/** Time a new holder waits, so that its predecessor's last order has ended. */
export const SUCCESSOR_WAIT_MS = ORDER_TIMEOUT_MS + LEASE_MARGIN_MS;

/** Time between two looks at what an engine does. */
export const READ_BACK_MS = 10_000;

/** Time an engine has to load what it was ordered, before it is ordered again. */
export const LOAD_TIMEOUT_MS = 600_000;

/** Loads from the weight store at a time, over all models. */
export const FLEET_LOADS_AT_ONCE = 8;

/** Longest pause between two tries to become the placing entry. */
export const ACQUIRE_RETRY_MAX_MS = 10_000;

/** A lease as its holder sees it. */
export interface PlacingLease {
  readonly leaseId: string;
  readonly fencingNumber: number;
  /** End by the holder's own monotonic clock, counted from before the call. */
  readonly validUntilMs: number;
  /** First time at which the holder may give orders. */
  readonly ordersFromMs: number;
  readonly renewAtMs: number;
}

/** What is known of the placing of one model. */
export interface Placing {
  readonly lease: PlacingLease | undefined;
  /** Whether a call about the lease is under way. */
  readonly isBusy: boolean;
  readonly failures: number;
  readonly nextTryAtMs: number;
}

/** What is known of one engine that this entry gives orders to. */
export interface OrderedEngine {
  readonly seen: EngineAssignment | undefined;
  readonly isBusy: boolean;
  readonly readAtMs: number;
  /** Time of the last order that may have reached the engine. */
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
  readonly placings: ReadonlyMap<string, Placing>;
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
        /** Time before the lease was asked for. */
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
        /** Whether the store said that the lease is gone. */
        readonly isLapsed: boolean;
      }
    /** An engine told what it does. */
    | {
        readonly type: 'orders.assignmentRead';
        readonly targetId: string;
        readonly assignment: EngineAssignment | undefined;
      }
    /** An order ended; unless refused it may have taken effect. */
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
      /** Not to be sent after this time of the entry's monotonic clock. */
      readonly sendUntilMs: number;
    };
