import type { EngineCost } from '@endivegate/contracts/forwarding';

const TOKENS_PER_K = 1000;
const PAIRS_PER_MILLION = 1_000_000;

/**
 * Estimates the time that one engine needs to prefill a whole prompt.
 *
 * @param cost - Published cost model of the engine.
 * @param promptTokens - Length of the prompt in tokens.
 * @returns Time in milliseconds.
 *
 * @example
 * estimatePrefillMs(cost, 154_000) / parts; // split over several engines
 */
export function estimatePrefillMs(
  cost: EngineCost,
  promptTokens: number,
): number {
  const pairs = (promptTokens * promptTokens) / 2;
  return (
    promptTokens / cost.readTokensPerMs +
    (pairs / PAIRS_PER_MILLION) * cost.readMsPerMillionPairs
  );
}

/** A prompt at an engine, and the load there. */
export interface LongestAnswerQuery {
  /** Predicted time until the first event. */
  readonly firstEventMs: number;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Other requests that are decoding at the engine, and their context tokens. */
  readonly decodingRequests: number;
  readonly contextTokens: number;
  /** Observed divided by predicted time of its passes. */
  readonly slowdown: number;
}

/**
 * Estimates how long a prompt takes if its output is as long as it may be.
 *
 * @param cost - Published cost model of the engine.
 * @param query - The prompt and the load.
 * @returns Time in milliseconds.
 *
 * @example
 * estimateLongestAnswerMs(cost, { firstEventMs: 120, promptTokens, ...rest });
 */
export function estimateLongestAnswerMs(
  cost: EngineCost,
  query: LongestAnswerQuery,
): number {
  const passes = Math.ceil(query.maxOutputTokens / cost.stepsPerPass);
  const passMs = estimatePassMs(
    cost,
    query.decodingRequests + 1,
    query.contextTokens + query.promptTokens + query.maxOutputTokens,
  );
  return query.firstEventMs + passes * passMs * query.slowdown;
}

/**
 * Estimates the time of one engine pass without prefill work, which is the gap
 * between two events of the engine's streams.
 *
 * @param cost - Published cost model of the engine.
 * @param decodingRequests - Number of requests that are decoding.
 * @param contextTokens - Total context tokens of these requests.
 * @returns Time in milliseconds.
 *
 * @example
 * estimatePassMs(cost, 8, 40_000); // about 50 ms
 */
export function estimatePassMs(
  cost: EngineCost,
  decodingRequests: number,
  contextTokens: number,
): number {
  const stepMs =
    cost.stepMs +
    decodingRequests * cost.stepMsPerWriter +
    (contextTokens / TOKENS_PER_K) * cost.stepMsPerContextK;
  return decodingRequests > 0 ? stepMs * cost.stepsPerPass : stepMs;
}
