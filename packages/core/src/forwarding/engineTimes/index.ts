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
