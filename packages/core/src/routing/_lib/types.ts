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

/** Phase of a request in routing. */
export type RoutedPhase =
  /** Waiting for a share of the limit of its table row. */
  | 'limited'
  /** In this entry's queue. */
  | 'waiting'
  /** Waiting for the model's placing entry to assign an engine. */
  | 'placing'
  /** Reserving KV memory on several engines. */
  | 'reserving'
  /** Dispatched; the first token has not arrived. */
  | 'prefill'
  /** Dispatched; the first token has arrived. */
  | 'decoding';

/** State of a request in routing, from its arrival to its end. */
export interface RoutedRequest {
  readonly request: RequestInfo;
  readonly phase: RoutedPhase;
  readonly targetId: string | undefined;
  readonly excludedTargetIds: readonly string[];
  /**
   * Whether it may only run on a target that runs no other isolated request.
   */
  readonly isolated: boolean;
  /** Estimated prefill time. */
  readonly costMs: number;
  /** Virtual start time in weighted fair queueing. */
  readonly startTag: number;
  readonly phaseSinceMs: number;
  /** Key of the limit that it counts against, or undefined without a limit. */
  readonly limitKey: string | undefined;
  /** Time to first token that was predicted at dispatch. */
  readonly predictedMs: number;
  readonly cachedTokens: number;
  /** Id of the reservation, when KV memory is reserved on several engines. */
  readonly reservationId: string | undefined;
  readonly parts: readonly ReservationPart[];
  /** Number of parts granted so far. */
  readonly grantedParts: number;
}

/** What an entry knows about one engine. */
export interface EngineView {
  readonly load: LoadReport | undefined;
  /** Time at which the engine measured the load. */
  readonly loadAtMs: number;
  /** Moving average of observed ÷ predicted time to first token, at least 1. */
  readonly slowness: number;
  readonly samples: number;
  readonly consecutiveFailures: number;
  readonly ejections: number;
  readonly ejectedUntilMs: number;
  readonly cacheSequence: number;
}

/** Engines that recently prefilled a prompt prefix, the latest first. */
export type PrefixHolders = readonly {
  readonly targetId: string;
  readonly atMs: number;
}[];

/** A prompt of class `huge`, as tracked by its model's placing entry. */
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
  readonly requestedAtMs: number;
  readonly startTag: number;
  readonly excludedTargetIds: readonly string[];
  /** Undefined while the prompt waits for an engine. */
  readonly targetId: string | undefined;
  readonly parts: readonly ReservationPart[];
  readonly phase: 'waiting' | 'prefill' | 'decoding';
}

/** State of routing at one entry. */
export interface RoutingState {
  readonly self: EntryAddress | undefined;
  readonly live: readonly EntryAddress[];
  readonly targets: readonly Target[];
  /** Targets that accept new requests, by model or service name. */
  readonly servingTargets: ReadonlyMap<string, readonly Target[]>;
  readonly rows: RowIndex;
  /**
   * Engines of each model, in the order in which they are divided into lanes.
   */
  readonly engineOrders: ReadonlyMap<string, readonly string[]>;
  /**
   * Score added per target, different at each entry, so that entries spread.
   */
  readonly preferencesMs: ReadonlyMap<string, number>;
  readonly requests: ReadonlyMap<string, RoutedRequest>;
  readonly engines: ReadonlyMap<string, EngineView>;
  readonly costs: ReadonlyMap<string, CostModel>;
  readonly prefixes: BucketMap<PrefixHolders>;
  /** Virtual time of each fair queue. */
  readonly virtualTimes: ReadonlyMap<string, number>;
  /** Last finish tag of each workspace in each fair queue. */
  readonly finishTags: ReadonlyMap<string, number>;
  /** Work that arrived since the last demand report, by model. */
  readonly work: ReadonlyMap<string, WorkByClass>;
  readonly demandSentAtMs: number;
  readonly lanes: ReadonlyMap<string, LanePlan>;
  /** As placing entry: reported work of all entries, decaying, by model. */
  readonly fleetWork: ReadonlyMap<string, WorkByClass>;
  /** As placing entry: placements by request id. */
  readonly placements: ReadonlyMap<string, Placement>;
  /** Time at which the view of live entries last changed. */
  readonly viewSinceMs: number;
  /** Limits that requests of this entry use, by key. */
  readonly limitUses: ReadonlyMap<string, LimitUse>;
  /** Limits that this entry coordinates, by key. */
  readonly coordinatedLimits: ReadonlyMap<string, CoordinatedLimit>;
  readonly nextReservation: number;
  readonly loadCursor: number;
  /** Fraction of a load read that is due, carried over from tick to tick. */
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
  /** Reserve KV memory; the reply is the event `routing.reserved`. */
  | {
      readonly type: 'routing.reserve';
      readonly requestId: string;
      readonly targetId: string;
      readonly reservationId: string;
      readonly tokens: number;
      readonly lifetimeMs: number;
    }
  /** Free reserved memory; the handler retries until the engine confirms. */
  | {
      readonly type: 'routing.freeReservation';
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
