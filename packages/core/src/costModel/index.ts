/** Learned speeds of one model; see {@link learnPrefill}. */
export interface CostModel {
  /** Prefill time per token, by octave of the prompt length: the floor of its
   * base-2 logarithm. */
  readonly prefillMsPerToken: ReadonlyMap<number, number>;
  /** Time between two generated tokens. */
  readonly decodeMsPerToken: number;
  /** Ratio of generated to allowed output tokens. */
  readonly outputRatio: number;
}

/** Prefill time per token of a short prompt, assumed before any observation. */
export const DEFAULT_PREFILL_MS_PER_TOKEN = 0.05;

/** Prompt length at which the prefill time per token is assumed to be twice that
 * of a short prompt. */
export const DEFAULT_PREFILL_DOUBLING_TOKENS = 400_000;

/** Speeds assumed before any observation. */
export const DEFAULT_COST_MODEL: CostModel = {
  prefillMsPerToken: new Map(),
  decodeMsPerToken: 30,
  outputRatio: 0.5,
};

/** Smoothing weight of an observation that was faster than expected. */
const FASTER_GAIN = 0.2;

/** Smoothing weight of a slower observation, which may include queueing time. */
const SLOWER_GAIN = 0.02;

const DECODE_GAIN = 0.05;

/**
 * Estimates the time that an idle engine takes to prefill a prompt.
 *
 * Times are learned per octave of the prompt length. An octave without
 * observations uses the default curve, scaled to match the nearest learned
 * octave.
 *
 * @param model - Learned speeds.
 * @param promptTokens - Length of the prompt in tokens.
 * @param cachedTokens - Number of leading tokens that the engine has cached.
 * @returns Time in milliseconds.
 *
 * @example
 * estimatePrefillMs(DEFAULT_COST_MODEL, 2_000); // about 100
 */
export function estimatePrefillMs(
  model: CostModel,
  promptTokens: number,
  cachedTokens = 0,
): number {
  const missingTokens = Math.max(promptTokens - cachedTokens, 1);
  return missingTokens * prefillMsPerToken(model, promptTokens);
}

/**
 * Estimates the time from the first generated token to the last.
 *
 * @param model - Learned speeds.
 * @param maxOutputTokens - Maximum number of output tokens of the request.
 * @returns Time in milliseconds.
 */
export function estimateDecodeMs(
  model: CostModel,
  maxOutputTokens: number,
): number {
  return maxOutputTokens * model.outputRatio * model.decodeMsPerToken;
}

/**
 * Updates the prefill time from a prompt's time to first token.
 *
 * Queueing can only increase that time, so the estimate follows fast observations
 * quickly and slow ones slowly.
 *
 * @param model - Learned speeds.
 * @param observation - Token counts, and the time from dispatch to the first token.
 * @returns The updated speeds.
 */
export function learnPrefill(
  model: CostModel,
  observation: {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly firstTokenMs: number;
  },
): CostModel {
  const octave = octaveOf(observation.promptTokens);
  const missingTokens = Math.max(
    observation.promptTokens - observation.cachedTokens,
    1,
  );
  const observedMsPerToken = observation.firstTokenMs / missingTokens;
  const currentMsPerToken = prefillMsPerToken(model, observation.promptTokens);
  const gain =
    observedMsPerToken < currentMsPerToken ? FASTER_GAIN : SLOWER_GAIN;
  const learned =
    currentMsPerToken + gain * (observedMsPerToken - currentMsPerToken);
  return {
    ...model,
    prefillMsPerToken: new Map(model.prefillMsPerToken).set(octave, learned),
  };
}

/**
 * Updates the decode time and the output ratio from a complete answer.
 *
 * @param model - Learned speeds.
 * @param observation - Token counts, and the time from the first token to the last.
 * @returns The updated speeds.
 */
export function learnDecode(
  model: CostModel,
  observation: {
    readonly maxOutputTokens: number;
    readonly outputTokens: number;
    readonly decodeMs: number;
  },
): CostModel {
  const msPerToken =
    observation.decodeMs / Math.max(observation.outputTokens, 1);
  const ratio =
    observation.outputTokens / Math.max(observation.maxOutputTokens, 1);
  const { decodeMsPerToken, outputRatio } = model;
  return {
    ...model,
    decodeMsPerToken:
      decodeMsPerToken + DECODE_GAIN * (msPerToken - decodeMsPerToken),
    outputRatio: outputRatio + DECODE_GAIN * (ratio - outputRatio),
  };
}

function octaveOf(tokens: number): number {
  return Math.floor(Math.log2(Math.max(tokens, 1)));
}

function prefillMsPerToken(model: CostModel, promptTokens: number): number {
  const octave = octaveOf(promptTokens);
  const learned = model.prefillMsPerToken.get(octave);
  if (learned !== undefined) return learned;
  return defaultMsPerToken(promptTokens) * nearestOctaveScale(model, octave);
}

function defaultMsPerToken(promptTokens: number): number {
  const slowdown = 1 + promptTokens / DEFAULT_PREFILL_DOUBLING_TOKENS;
  return DEFAULT_PREFILL_MS_PER_TOKEN * slowdown;
}

/** Returns the ratio of learned to default time per token of the nearest learned
 * octave. */
function nearestOctaveScale(model: CostModel, octave: number): number {
  const nearest = [...model.prefillMsPerToken.keys()].toSorted(
    (a, b) => Math.abs(a - octave) - Math.abs(b - octave),
  )[0];
  if (nearest === undefined) return 1;
  const learned = model.prefillMsPerToken.get(nearest) ?? 0;
  return learned / defaultMsPerToken(1.5 * 2 ** nearest);
}
