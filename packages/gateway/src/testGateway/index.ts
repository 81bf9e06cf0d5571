import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request as httpRequest,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import type {
  EngineCost,
  ForwardingConfig,
  ForwardingRoute,
  ListedTarget,
} from '@endivegate/contracts/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { Connect } from '../createConnectionPool/index.ts';
import { createEventLog } from '../createEventLog/index.ts';
import {
  createGatewayMetrics,
  type GatewayMetrics,
} from '../createGatewayMetrics/index.ts';
import type { OrderPort } from '../orderPort/index.ts';
import {
  type Gateway,
  startGateway,
  type StartGatewayOptions,
} from '../startGateway/index.ts';
import type { CheckTarget } from '../targetLoss/index.ts';
import { testAddress } from '../testAddress/index.ts';
import { testDialect } from '../testDialect/index.ts';

const HOST = '127.0.0.1';

/** The gateway's clock is ahead by more than the window of its retry budget. */
const UPTIME_MS = 60_000;

/** Response as a caller of the gateway sees it. */
export interface TestAnswer {
  readonly status: number;
  readonly body: string;
  /** Whether the response was complete according to its framing. */
  readonly isWhole: boolean;
}

/** Request as a target received it. */
export interface TestSend {
  readonly target: string;
  readonly lastEventId: string | undefined;
}

/** A gateway between a caller and stand-in targets, for tests. */
export interface TestGateway {
  readonly gateway: Gateway;
  readonly callerPort: number;
  /** IP and port for traffic between entries. */
  readonly peerAddress: string;
  /** Requests that targets received, in order. */
  readonly sends: readonly TestSend[];
  /** Log lines of the gateway. */
  readonly lines: readonly string[];
  /** Requests a path, with POST if there is a body; resolves at the end of the response. */
  readonly ask: (
    path: string,
    headers?: OutgoingHttpHeaders,
    body?: Buffer,
  ) => Promise<TestAnswer>;
  /** Advances the gateway's clock, but no timer. */
  readonly skip: (forMs: number) => void;
  readonly metrics: GatewayMetrics;
  readonly metricsText: () => Promise<string>;
  readonly stop: () => Promise<void>;
}

/** Options of {@link startTestGateway}. */
export interface StartTestGatewayOptions {
  /** What each target does with a request, or the IP and port of one that is running;
   * `t0` is preferred. */
  readonly targets: readonly (RequestListener | string)[];
  /** Differences from a resumable stream route. */
  readonly route?: Partial<ForwardingRoute>;
  /** Differences from small limits of requests. */
  readonly limits?: Partial<ForwardingConfig['limits']>;
  /** Makes the targets engines, and requests with a size prompts. */
  readonly engine?: EngineCost;
  readonly queuesRequests?: boolean;
  /** Opens connections to targets; `connect` of `node:net` by default. */
  readonly connectTarget?: Connect;
  /** Orders to targets; all are carried out by default. */
  readonly orders?: OrderPort;
  /** Asks targets whether they are alive; connects to them by default. */
  readonly checkTarget?: CheckTarget;
  /** Name of the entry; `e1` by default. */
  readonly name?: string;
  /** Time for which the process has been busy since its start; 0 by default. */
  readonly busyMs?: () => number;
}

const defaultRoute: ForwardingRoute = {
  name: 'stream',
  host: 'api.example',
  prefix: '/',
  repeat: 'stream',
  timeoutMs: 6000,
  targetLatencyMs: 100,
  gapTargetMs: 50,
  priority: 1,
  shares: [{ service: 'plain', weight: 1 }],
  maxAttempts: 2,
  anonymous: true,
  resumable: true,
};

/**
 * Builds a configuration with a single route.
 *
 * @param route - Differences from a resumable stream route.
 * @param engine - Cost model of the targets, if they are engines.
 * @returns The configuration, with version 1.
 */
export function testConfig(
  route: Partial<ForwardingRoute> = {},
  engine?: EngineCost,
): ForwardingConfig {
  return {
    version: 1,
    routes: [{ ...defaultRoute, ...route }],
    services: [
      { name: 'plain', healthPath: '/h', maxConnections: 100, engine },
    ],
    requiresKeys: false,
    workspaces: [],
    limits: {
      maxHeaderBytes: 2000,
      maxBodyBytes: 1000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/**
 * Returns options of a gateway without peers that logs nothing. Its clock has run
 * for longer than the window of the retry budget.
 *
 * @param options - Differences.
 * @returns The options, with unused addresses.
 */
export async function testGatewayOptions(
  options: Partial<StartGatewayOptions> = {},
): Promise<StartGatewayOptions> {
  return {
    name: 'e1',
    dataCentre: 'a',
    callerAddress: await testAddress(),
    peerAddress: await testAddress(),
    seedAddresses: [],
    bounds: {
      retry: { ratio: 0.2, windowMs: 10_000, slack: 100 },
      graceMs: 8000,
    },
    dialect: testDialect,
    orders: {
      reserve: () => () => Promise.resolve(E.right(undefined)),
      release: () => () => Promise.resolve(E.right(undefined)),
      isInUse: () => () => Promise.resolve(E.right(true)),
    },
    log: createEventLog({
      entryId: options.name ?? 'e1',
      write: (_text, done) => {
        done();
      },
    }),
    metrics: createGatewayMetrics(),
    now: createTestClock().now,
    busyMs: () => 0,
    ...options,
  };
}

/** A clock that can be advanced. */
export interface TestClock {
  /** Monotonic time in ms. */
  readonly now: () => number;
  readonly skip: (forMs: number) => void;
}

/**
 * Creates a clock that is ahead by the time for which a test gateway has run, but for its
 * first reading, which is the start time.
 *
 * @returns The clock.
 */
export function createTestClock(): TestClock {
  let reads = 0;
  let skippedMs = 0;
  return {
    now() {
      reads += 1;
      return performance.now() + skippedMs + (reads > 1 ? UPTIME_MS : 0);
    },
    skip(forMs) {
      skippedMs += forMs;
    },
  };
}

/**
 * Lists targets `t0`, `t1` and so on of the service `plain`; a gateway in data
 * centre `a` prefers `t0`.
 *
 * @param addresses - IP and port of each.
 * @returns The targets.
 */
export function testTargets(
  addresses: readonly string[],
): readonly ListedTarget[] {
  return addresses.map((address, index) => ({
    id: `t${index}`,
    service: 'plain',
    address,
    dataCentre: index === 0 ? 'a' : 'b',
    draining: false,
    slots: 4,
    bornMs: 0,
  }));
}

/**
 * Adds the headers by which the test dialect recognizes the answer of a target
 * that ran the request.
 */
export function sign(request: IncomingMessage, response: ServerResponse): void {
  response.setHeader('x-request', String(request.headers['x-request']));
  response.setHeader('x-signed', '1');
}

/**
 * Starts a gateway with stand-in targets over loopback.
 *
 * @param options - Targets and route.
 * @returns The gateway and its caller.
 */
export async function startTestGateway(
  options: StartTestGatewayOptions,
): Promise<TestGateway> {
  const sends: TestSend[] = [];
  const lines: string[] = [];
  const servers: Server[] = [];
  const addresses = await Promise.all(
    options.targets.map(async (target, index) => {
      if (typeof target === 'string') return target;
      const server = await listen(
        createServer((request, response) => {
          const lastEventId = request.headers['last-event-id']?.toString();
          sends.push({ target: `t${index}`, lastEventId });
          request.resume().on('end', () => {
            target(request, response);
          });
        }),
      );
      servers.push(server);
      return `${HOST}:${portOf(server)}`;
    }),
  );
  const clock = createTestClock();
  const { name = 'e1', connectTarget, busyMs = () => 0 } = options;
  const { checkTarget, orders } = options;
  const started = await testGatewayOptions({
    name,
    busyMs,
    now: clock.now,
    queuesRequests: options.queuesRequests,
    ...(connectTarget === undefined ? {} : { connectTarget }),
    ...(checkTarget === undefined ? {} : { checkTarget }),
    ...(orders === undefined ? {} : { orders }),
    log: createEventLog({
      entryId: name,
      write: (text, done) => {
        lines.push(text);
        done();
      },
    }),
  });
  const callerPort = Number(started.callerAddress.split(':')[1]);
  const gateway = startGateway(started);
  gateway.runtime.dispatch({
    type: 'roster.listed',
    atMs: 0,
    targets: testTargets(addresses),
  });
  const config = testConfig(options.route, options.engine);
  const limits = { ...config.limits, ...options.limits };
  gateway.runtime.applyConfig({ ...config, limits }, 'test');

  return {
    gateway,
    callerPort,
    skip: clock.skip,
    metrics: started.metrics,
    peerAddress: started.peerAddress,
    sends,
    lines,
    ask: (path, headers, body) => ask(callerPort, path, headers, body),
    metricsText: started.metrics.text,
    async stop() {
      servers.forEach((server) => {
        server.closeAllConnections();
        server.close();
      });
      gateway.stop();
      await new Promise((resolve) => setImmediate(resolve));
    },
  };
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

function listen(server: Server): Promise<Server> {
  return new Promise((resolve) => {
    server.listen(0, HOST, () => {
      resolve(server);
    });
  });
}

function ask(
  port: number,
  path: string,
  headers: OutgoingHttpHeaders = {},
  body?: Buffer,
): Promise<TestAnswer> {
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      {
        host: HOST,
        port,
        path,
        method: body === undefined ? 'GET' : 'POST',
        agent: false,
        headers: { host: 'api.example', 'x-request': 'a1', ...headers },
      },
      (response) => {
        const chunks: Buffer[] = [];
        const done = (isWhole: boolean): void => {
          resolve({
            status: response.statusCode ?? 0,
            body: Buffer.concat(chunks).toString(),
            isWhole,
          });
        };
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => {
          done(response.complete);
        });
        response.on('error', () => {
          done(false);
        });
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}
