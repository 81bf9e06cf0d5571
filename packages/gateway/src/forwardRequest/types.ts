import type {
  ForwardingRoute,
  ForwardingService,
} from '@endivegate/contracts/forwarding';
import type { ConnectionPool } from '../createConnectionPool/index.ts';
import type { EventLog } from '../createEventLog/index.ts';
import type { GatewayMetrics } from '../createGatewayMetrics/index.ts';
import type { GatewayBounds, GatewayRuntime } from '../gatewayRuntime/index.ts';
import type { CallerHead, HttpDialect } from '../httpDialect/index.ts';
import type { OrderPort } from '../orderPort/index.ts';

/** A caller's request that may be forwarded. */
export interface ForwardCall {
  readonly attemptId: string;
  readonly route: ForwardingRoute;
  readonly service: ForwardingService;
  /** Workspace that the key belongs to; undefined where none is needed. */
  readonly workspace: string | undefined;
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly caller: CallerHead;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
}

/** What forwarding needs of the gateway. */
export interface ForwardContext {
  readonly runtime: GatewayRuntime;
  readonly pool: ConnectionPool;
  readonly orders: OrderPort;
  readonly dialect: HttpDialect;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly bounds: GatewayBounds;
  readonly dataCentre: string;
  /** Monotonic time at which the gateway started. */
  readonly startedAtMs: number;
  /** Monotonic time in ms. */
  readonly now: () => number;
}
