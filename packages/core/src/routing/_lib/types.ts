import type {
  CacheEvent,
  EntryAddress,
  LoadReport,
  RoutingMessage,
  Target,
} from '@endivegate/contracts';
import type { BucketMap } from '../../bucketMap/index.ts';
import type { CostModel } from '../../costModel/index.ts';
import type { EventBase } from '../../events/index.ts';
import type { RowIndex } from '../../indexRows/index.ts';
import type { LanePlan, WorkByClass } from '../../planLanes/index.ts';
import type { ReservationPart } from '../../planReservation/index.ts';
import type { CoordinatedLimit, LimitUse } from '../../limits/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import type { RaiseEffect } from '../../slice/index.ts';
import type { Step } from '../../step/index.ts';

/** Where a request stands in routing. */
export type RoutedPhase =
  /** Waiting for a share of its row's limit. */
  | 'limited'
  /** In this entry's queue. */
  | 'waiting'
  /** The model's placing entry was asked for an engine. */
  | 'placing'
  /** Memory is being reserved on several engines. */
  | 'reserving'
  /** Dispatched; no token yet. */
  | 'prefill'
  /** Dispatched; tokens are coming. */
  | 'decoding';

/** A request known to routing, until it ends. */
export interface RoutedRequest {
  readonly request: RequestInfo;
  readonly phase: RoutedPhase;
  readonly targetId: string | undefined;
  readonly excludedTargetIds: readonly string[];
  /** Whether it may run only where no other isolated request runs. */
  readonly isolated: boolean;
  /** Estimated engine time. */
  readonly costMs: number;
  /** Virtual start time of weighted fair queueing. */
  readonly startTag: number;
  readonly phaseSinceMs: number;
  /** Limit that it counts for, while it holds or waits for a share. */
  readonly limitKey: string | undefined;
  /** First token time that was predicted at dispatch, as a duration. */
  readonly predictedMs: number;
  readonly cachedTokens: number;
  /** Memory on engines for a prompt that asks for a reservation. */
  readonly reservationId: string | undefined;
  readonly parts: readonly ReservationPart[];
  /** Parts granted so far. */
  readonly grantedParts: number;
}

/** What an entry knows of one engine. */
export interface EngineView {
  readonly load: LoadReport | undefined;
  /** Time the load was true. */
  readonly loadAtMs: number;
  /** Observed ÷ predicted first token time, averaged. */
  readonly slowness: number;
  readonly samples: number;
  readonly failuresInRow: number;
  readonly ejections: number;
  readonly ejectedUntilMs: number;
  readonly cacheSequence: number;
}

/** Engines recently sent a prompt prefix, the latest first. */
export type PrefixHolders = readonly {
  readonly targetId: string;
  readonly atMs: number;
}[];

/** A prompt for the long lane, at the model's placing entry. */
export interface Placement {
  readonly entryId: string;
  readonly requestId: string;
  readonly model: string;
  readonly workspace: string;
  readonly weight: number;
  readonly promptTokens: number;
  readonly needTokens: number;
  readonly costMs: number;
  readonly decodeMs: number;
  readonly deadlineAtMs: number;
  readonly sinceMs: number;
  readonly startTag: number;
  readonly excludedTargetIds: readonly string[];
  /** Undefined while it waits. */
  readonly targetId: string | undefined;
  readonly parts: readonly ReservationPart[];
  readonly phase: 'waiting' | 'prefill' | 'decoding';
}

/** State of routing at one entry. */
export interface RoutingState {
  readonly self: EntryAddress | undefined;
  readonly live: readonly EntryAddress[];
  readonly targets: readonly Target[];
  /** Targets that may get new work, by model or service name. */
  readonly servingTargets: ReadonlyMap<string, readonly Target[]>;
  readonly rows: RowIndex;
  /** Engines of each model in the order in which lanes use them. */
  readonly engineOrders: ReadonlyMap<string, readonly string[]>;
  /** Cost that makes this entry prefer other engines than others do. */
  readonly preferencesMs: ReadonlyMap<string, number>;
  readonly requests: ReadonlyMap<string, RoutedRequest>;
  readonly engines: ReadonlyMap<string, EngineView>;
  readonly costs: ReadonlyMap<string, CostModel>;
  readonly prefixes: BucketMap<PrefixHolders>;
  /** Virtual time and last finish tags of weighted fair queueing, by lane. */
  readonly virtualTimes: ReadonlyMap<string, number>;
  readonly finishTags: ReadonlyMap<string, number>;
  /** Work that arrived since the last report of demand, by model. */
  readonly work: ReadonlyMap<string, WorkByClass>;
  readonly demandSentAtMs: number;
  readonly lanes: ReadonlyMap<string, LanePlan>;
  /** As placing entry: work of all entries, decaying, and placements. */
  readonly fleetWork: ReadonlyMap<string, WorkByClass>;
  readonly placements: ReadonlyMap<string, Placement>;
  /** Time at which the view of live entries last changed. */
  readonly viewSinceMs: number;
  /** Limits that this entry uses, and those it coordinates. */
  readonly limitUses: ReadonlyMap<string, LimitUse>;
  readonly coordinatedLimits: ReadonlyMap<string, CoordinatedLimit>;
  readonly nextReservation: number;
  readonly loadCursor: number;
  /** Part of a load read that is due, carried from tick to tick. */
  readonly loadCredit: number;
}

/** Events of the routing slice. */
export type RoutingEvent = EventBase &
  (
    | {
        readonly type: 'routing.loadRead';
        readonly targetId: string;
        /** Undefined when the engine did not answer. */
        readonly load: LoadReport | undefined;
      }
    | {
        readonly type: 'routing.cacheRead';
        readonly targetId: string;
        readonly events: readonly CacheEvent[];
      }
    | {
        readonly type: 'routing.reserved';
        readonly requestId: string;
        readonly targetId: string;
        readonly granted: boolean;
      }
    | {
        readonly type: 'routing.peerReceived';
        readonly fromEntryId: string;
        readonly message: RoutingMessage;
      }
  );

/** Effects of the routing slice. */
export type RoutingEffect =
  | { readonly type: 'routing.readLoad'; readonly targetId: string }
  | {
      readonly type: 'routing.readCache';
      readonly targetId: string;
      readonly afterSequence: number;
    }
  /** Reserve memory; answered by `routing.reserved`. */
  | {
      readonly type: 'routing.reserve';
      readonly requestId: string;
      readonly targetId: string;
      readonly reservationId: string;
      readonly tokens: number;
      readonly lifetimeMs: number;
    }
  /** Free memory; repeated by the handler until the engine has confirmed. */
  | {
      readonly type: 'routing.free';
      readonly targetId: string;
      readonly reservationId: string;
    }
  | {
      readonly type: 'routing.sendPeer';
      readonly toEntryId: string;
      readonly message: RoutingMessage;
    };

/** Step of the routing slice. */
export type RoutingStep = Step<RoutingState, RoutingEffect | RaiseEffect>;
