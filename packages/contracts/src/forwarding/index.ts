/**
 * What a forwarding gateway is configured with: routes to services, the cost
 * model of a service's engines, workspaces with their keys, and the targets
 * that serve. All times are milliseconds unless a field says otherwise.
 */
import { z } from 'zod';

const count = z.number().int().nonnegative();
const durationMs = z.number().nonnegative();

/** What may be repeated of a route's requests. */
export const repeatRuleSchema = z.enum(['idempotent', 'atMostOnce', 'stream']);

/** A service that takes a share of a route's requests. */
export const routeShareSchema = z.object({
  service: z.string(),
  weight: z.number().nonnegative(),
});

/** One route: requests of a host below a path prefix. */
export const forwardingRouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  repeat: repeatRuleSchema,
  /** Longest time that a caller is kept waiting. */
  timeoutMs: durationMs,
  /** Time within which an answer is on time; for streams, its first event. */
  targetLatencyMs: durationMs,
  /** Longest pause between two events of a stream that is on time. */
  gapTargetMs: durationMs,
  /** Rank; 0 is the most urgent. */
  priority: z.number(),
  shares: z.array(routeShareSchema),
  /** Most targets that one request is sent to. */
  maxAttempts: z.number().int().positive(),
  /** Whether requests need no key. */
  anonymous: z.boolean(),
  /** Whether a stream may be resumed at another target. */
  resumable: z.boolean(),
});

/** Published cost model of a service's engines. */
export const engineCostSchema = z.object({
  slots: count,
  /** Memory of one engine in tokens. */
  memoryTokens: count,
  /** Decode steps in a pass that has writers, so also tokens of one event. */
  stepsPerPass: z.number().positive(),
  stepMs: durationMs,
  /** Added to a step by each request that is writing. */
  stepMsPerWriter: durationMs,
  /** Added to a step by each 1,000 tokens of context of a writer. */
  stepMsPerContextK: durationMs,
  readTokensPerMs: z.number().positive(),
  /** Time of a million pairs of a prompt token and an earlier one. */
  readMsPerMillionPairs: durationMs,
  /** Added to each step of a prompt that is held by several engines. */
  helperStepMs: durationMs,
});

/** A service behind the gateway. */
export const forwardingServiceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  /** Connections that one target takes from all callers. */
  maxConnections: count,
  engine: engineCostSchema.optional(),
});

/** A workspace with the keys of its callers. */
export const keyedWorkspaceSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  priority: z.number().optional(),
});

/** Bounds on what a caller sends. */
export const callerLimitsSchema = z.object({
  maxHeaderBytes: count,
  maxBodyBytes: count,
  headerTimeoutMs: durationMs,
  idleTimeoutMs: durationMs,
});

/** A whole configuration; a higher version replaces a lower one. */
export const forwardingConfigSchema = z.object({
  version: z.number(),
  routes: z.array(forwardingRouteSchema),
  services: z.array(forwardingServiceSchema),
  /** Empty when requests carry no keys. */
  workspaces: z.array(keyedWorkspaceSchema),
  limits: callerLimitsSchema,
});

/** A process that serves a service, as the platform lists it. */
export const listedTargetSchema = z.object({
  id: z.string(),
  service: z.string(),
  /** IP and port. */
  address: z.string(),
  dataCentre: z.string(),
  draining: z.boolean(),
  /** Requests that it runs at once. */
  slots: count,
  /** Unix time of its start; another value under one id is another process. */
  bornMs: z.number(),
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
