import type { EngineCost } from '@endivegate/contracts/forwarding';

const TOKENS_PER_K = 1000;
const PAIRS_PER_MILLION = 1_000_000;

/**
 * Estimates the time that one engine needs to read a prompt by itself.
 *
 * @param cost - Published cost model of the engine.
 * @param promptTokens - Tokens of the prompt.
 * @returns Time in milliseconds.
 *
 * @example
 * estimateReadMs(cost, 154_000) / parts; // read by several engines
 */
export function estimateReadMs(cost: EngineCost, promptTokens: number): number {
  const pairs = (promptTokens * promptTokens) / 2;
  return (
    promptTokens / cost.readTokensPerMs +
    (pairs / PAIRS_PER_MILLION) * cost.readMsPerMillionPairs
  );
}

/**
 * Estimates the time of one pass of an engine without any reading, which is
 * the pause between two events of its streams.
 *
 * @param cost - Published cost model of the engine.
 * @param writers - Requests that are writing.
 * @param contextTokens - Their tokens of context, summed.
 * @returns Time in milliseconds.
 *
 * @example
 * estimatePassMs(cost, 8, 40_000); // about 50 ms
 */
export function estimatePassMs(
  cost: EngineCost,
  writers: number,
  contextTokens: number,
): number {
  const stepMs =
    cost.stepMs +
    writers * cost.stepMsPerWriter +
    (contextTokens / TOKENS_PER_K) * cost.stepMsPerContextK;
  return writers > 0 ? stepMs * cost.stepsPerPass : stepMs;
}
