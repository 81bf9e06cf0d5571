import type {
  ForwardingRoute,
  ForwardingService,
} from '@endivegate/contracts/forwarding';
import type { AdmissionControl } from '../admissionControl/index.ts';
import type { ConnectionPool } from '../createConnectionPool/index.ts';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import type { GatewayBounds, GatewayRuntime } from '../gatewayRuntime/index.ts';
import type { CallerHead, HttpDialect } from '../httpDialect/index.ts';
import type { OrderPort } from '../orderPort/index.ts';
import type { ReachProbe } from '../reachProbe/index.ts';
import type { TargetDeaths } from '../targetDeaths/index.ts';
import type { TargetLoss } from '../targetLoss/index.ts';

/** A caller's request that passed all checks. */
export interface ForwardCall {
  readonly attemptId: string;
  readonly route: ForwardingRoute;
  readonly service: ForwardingService;
  /**
   * Workspace of the caller's key; undefined if no key is required or known.
   */
  readonly workspace: string | undefined;
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly caller: CallerHead;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  /** Whether a peer relayed it, so that it is not relayed again. */
  readonly isRelayed: boolean;
}

/** The grace period of an entry that shuts down. */
export interface GracePeriod {
  /** Time since the entry began to shut down. */
  readonly elapsedMs: number;
  /** Time until it ends open requests. */
  readonly leftMs: number;
  /** Time from the beginning for which callers that do not know of the shutdown may choose
   * this entry. */
  readonly addressesMs: number;
}

/** The shutdown of an entry. */
export interface Shutdown {
  /** Undefined while the entry does not shut down. */
  readonly grace: () => GracePeriod | undefined;
  /** Registers a listener for the end of the grace period; returns how to remove it. */
  readonly onEnd: (listener: () => void) => () => void;
}

/** Dependencies of forwarding. */
export interface ForwardContext {
  readonly runtime: GatewayRuntime;
  /** Connections to targets. */
  readonly pool: ConnectionPool;
  /** Connections to peers, for relayed requests. */
  readonly peerPool: ConnectionPool;
  readonly reachProbe: Pick<ReachProbe, 'noteReceived' | 'onCutOff'>;
  readonly orders: OrderPort;
  readonly dialect: HttpDialect;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly bounds: GatewayBounds;
  /** Queue of requests without capacity; undefined where it is off. */
  readonly admission?: AdmissionControl | undefined;
  /** The shutdown of this entry; default: none. */
  readonly shutdown?: Shutdown | undefined;
  readonly dataCentre: string;
  /** Memory of the machine in bytes; that of a small one by default. */
  readonly memoryBytes?: number | undefined;
  /** Name of this entry. */
  readonly entryName: string;
  readonly targetDeaths: TargetDeaths;
  readonly targetLoss: Pick<TargetLoss, 'watch'>;
  /** Start of the gateway in monotonic time. */
  readonly startedAtMs: number;
  /** Monotonic time in ms. */
  readonly now: () => number;
}
