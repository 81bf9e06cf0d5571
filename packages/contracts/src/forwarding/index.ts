/**
 * Configuration of a forwarding gateway: routes to services, the cost model of a
 * service's engines, workspaces with their keys, and the listed targets. All
 * times are in milliseconds unless noted otherwise.
 */
import { isIPv4 } from 'node:net';
import { z } from 'zod';
import {
  exactIntegerSchema,
  wireIntegerSchema,
} from '../exactInteger/index.ts';

export * from '../exactInteger/index.ts';

const MAX_PORT = 65_535;

/** An address to connect to, as `IP:PORT` with an IPv4 address and a port from 1 to
 * 65,535. Others make Node throw outside of any request. */
export const socketAddressSchema = z.string().refine((address) => {
  const [host = '', port = '', ...rest] = address.split(':');
  return (
    rest.length === 0 &&
    isIPv4(host) &&
    /^\d{1,5}$/.test(port) &&
    Number(port) >= 1 &&
    Number(port) <= MAX_PORT
  );
}, 'no IPv4 address with a port from 1 to 65,535');

const countSchema = z.number().int().nonnegative();
const durationMsSchema = z.number().nonnegative();

/** Whether the requests of a route may be sent again after a failure. */
export const repeatRuleSchema = z.enum(['idempotent', 'atMostOnce', 'stream']);

/** A service that receives a share of a route's requests. */
export const routeShareSchema = z.object({
  service: z.string(),
  weight: z.number().nonnegative(),
});

/** A route: matches requests by host and path prefix. */
export const forwardingRouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  repeat: repeatRuleSchema,
  /** Maximum time that a caller waits for a response. */
  timeoutMs: durationMsSchema,
  /** Latency target of a response, or of the first event of a stream. */
  targetLatencyMs: durationMsSchema,
  /** Target for the longest gap between two events of a stream. */
  gapTargetMs: durationMsSchema,
  /** Priority; 0 is the most urgent. */
  priority: z.number(),
  shares: z.array(routeShareSchema),
  /** Maximum number of targets to which a request is sent. */
  maxAttempts: z.number().int().positive(),
  /** Whether requests are accepted without a key. */
  anonymous: z.boolean(),
  /** Whether a stream may be resumed at another target. */
  resumable: z.boolean(),
});

/** Published cost model of a service's engines. */
export const engineCostSchema = z.object({
  slots: countSchema,
  /** KV cache memory of one engine, in tokens. */
  memoryTokens: countSchema,
  /** Decode steps in a pass with decoding requests; also the number of tokens in
   * one event. */
  stepsPerPass: z.number().positive(),
  stepMs: durationMsSchema,
  /** Time that each decoding request adds to a step. */
  stepMsPerWriter: durationMsSchema,
  /** Time that each 1,000 tokens of a decoding request's context add to a step. */
  stepMsPerContextK: durationMsSchema,
  /** Prefill rate. */
  readTokensPerMs: z.number().positive(),
  /** Prefill time for a million pairs of a prompt token and an earlier token. */
  readMsPerMillionPairs: durationMsSchema,
  /** Time that is added to each step of a prompt spread over several engines. */
  helperStepMs: durationMsSchema,
});

/** A service behind the gateway. */
export const forwardingServiceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Maximum number of connections that one target accepts from all clients. */
  maxConnections: countSchema,
  engine: engineCostSchema.optional(),
  /** Time for which a process takes few requests after its start. Absent in data of
   * earlier builds, as is `warmUpRequestsPerS`. */
  warmUpMs: durationMsSchema.optional(),
  /** Requests per second that a cold process takes from all entries together; 0 or
   * absent: no bound. */
  warmUpRequestsPerS: z.number().nonnegative().optional(),
});

/** A workspace with the keys of its callers. */
export const keyedWorkspaceSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  priority: z.number().optional(),
});

/** Limits on callers' requests and connections. */
export const callerLimitsSchema = z.object({
  maxHeaderBytes: countSchema,
  maxBodyBytes: countSchema,
  headerTimeoutMs: durationMsSchema,
  idleTimeoutMs: durationMsSchema,
});

/** A complete configuration; a higher version replaces a lower one. */
export const forwardingConfigSchema = z.object({
  version: exactIntegerSchema,
  routes: z.array(forwardingRouteSchema),
  services: z.array(forwardingServiceSchema),
  /** Whether requests to routes that are not anonymous need the key of a workspace, also
   * while there are no workspaces. */
  requiresKeys: z.boolean(),
  workspaces: z.array(keyedWorkspaceSchema),
  limits: callerLimitsSchema,
});

/** A process that serves a service, as the platform lists it. */
export const listedTargetSchema = z.object({
  id: z.string(),
  service: z.string(),
  address: socketAddressSchema,
  dataCentre: z.string(),
  draining: z.boolean(),
  /** Number of requests that it runs concurrently. */
  slots: countSchema,
  /** Unix time of its start; a different value for the same id means that another
   * process has taken its place. */
  bornMs: z.number(),
  /** How long it stays cold after it was listed; 0 or absent if it is warm. */
  warmUpLeftMs: durationMsSchema.optional(),
  /** Revision of the store at which its entry was written; absent in what entries of
   * earlier builds tell, or have rounded. */
  revision: wireIntegerSchema.optional().catch(undefined),
});

/** See {@link repeatRuleSchema}. */
export type RepeatRule = z.infer<typeof repeatRuleSchema>;
/** See {@link forwardingRouteSchema}. */
export type ForwardingRoute = z.infer<typeof forwardingRouteSchema>;
/** See {@link engineCostSchema}. */
export type EngineCost = z.infer<typeof engineCostSchema>;
/** See {@link forwardingServiceSchema}. */
export type ForwardingService = z.infer<typeof forwardingServiceSchema>;
/** See {@link callerLimitsSchema}. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
/** See {@link forwardingConfigSchema}. */
export type ForwardingConfig = z.infer<typeof forwardingConfigSchema>;
/** See {@link listedTargetSchema}. */
export type ListedTarget = z.infer<typeof listedTargetSchema>;
