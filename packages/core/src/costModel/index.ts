/** Learned speeds of one model; see {@link learnPrefill}. */
export interface CostModel {
  /** Prefill time per token by the prompt length's octave. */
  readonly prefillMsPerToken: ReadonlyMap<number, number>;
  /** Time between tokens. */
  readonly decodeMsPerToken: number;
  /** Ratio of generated to allowed output tokens. */
  readonly outputRatio: number;
}

/** Prefill speed assumed before anything was seen, for a short prompt. */
export const DEFAULT_PREFILL_MS_PER_TOKEN = 0.05;

/** Context at which a token is assumed to cost twice that of a short prompt. */
export const DEFAULT_PREFILL_DOUBLING_TOKENS = 400_000;

/** Speeds assumed before anything was seen. */
export const DEFAULT_COST_MODEL: CostModel = {
  prefillMsPerToken: new Map(),
  decodeMsPerToken: 30,
  outputRatio: 0.5,
};

/** Weight of an observation that was faster than expected. */
const FASTER_GAIN = 0.2;

/** Weight of a slower one, which may have waited for others. */
const SLOWER_GAIN = 0.02;

const DECODE_GAIN = 0.05;

/**
 * Estimates the time an idle engine takes to prefill a prompt.
 *
 * Times are learned for each octave of length. An octave that was not seen
 * takes the default curve, scaled by what was learned for the nearest octave.
 *
 * @param model - Learned speeds.
 * @param promptTokens - Length of the prompt.
 * @param cachedTokens - Leading tokens that the engine has cached.
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
 * Estimates the time from the first token to the last.
 *
 * @param model - Learned speeds.
 * @param maxOutputTokens - Tokens allowed.
 * @returns Time in milliseconds.
 */
export function estimateDecodeMs(
  model: CostModel,
  maxOutputTokens: number,
): number {
  return maxOutputTokens * model.outputRatio * model.decodeMsPerToken;
}

/**
 * Learns from a prompt's time to first token.
 *
 * Waiting only ever adds to that time, so the estimate follows fast
 * observations quickly and slow ones slowly.
 *
 * @param model - Learned speeds.
 * @param seen - Lengths and time from dispatch to first token.
 * @returns The new speeds.
 */
export function learnPrefill(
  model: CostModel,
  seen: {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly firstTokenMs: number;
  },
): CostModel {
  const octave = octaveOf(seen.promptTokens);
  const missingTokens = Math.max(seen.promptTokens - seen.cachedTokens, 1);
  const seenMsPerToken = seen.firstTokenMs / missingTokens;
  const known = prefillMsPerToken(model, seen.promptTokens);
  const gain = seenMsPerToken < known ? FASTER_GAIN : SLOWER_GAIN;
  const learned = known + gain * (seenMsPerToken - known);
  return {
    ...model,
    prefillMsPerToken: new Map(model.prefillMsPerToken).set(octave, learned),
  };
}

/**
 * Learns from the end of an answer.
 *
 * @param model - Learned speeds.
 * @param seen - Tokens and the time from the first to the last.
 * @returns The new speeds.
 */
export function learnDecode(
  model: CostModel,
  seen: {
    readonly maxOutputTokens: number;
    readonly outputTokens: number;
    readonly decodeMs: number;
  },
): CostModel {
  const msPerToken = seen.decodeMs / Math.max(seen.outputTokens, 1);
  const ratio = seen.outputTokens / Math.max(seen.maxOutputTokens, 1);
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
  return defaultMsPerToken(promptTokens) * scaleNear(model, octave);
}

function defaultMsPerToken(promptTokens: number): number {
  const slowdown = 1 + promptTokens / DEFAULT_PREFILL_DOUBLING_TOKENS;
  return DEFAULT_PREFILL_MS_PER_TOKEN * slowdown;
}

/** Learned ÷ default speed of the nearest octave that was seen. */
function scaleNear(model: CostModel, octave: number): number {
  const nearest = [...model.prefillMsPerToken.keys()].toSorted(
    (a, b) => Math.abs(a - octave) - Math.abs(b - octave),
  )[0];
  if (nearest === undefined) return 1;
  const learned = model.prefillMsPerToken.get(nearest) ?? 0;
  return learned / defaultMsPerToken(1.5 * 2 ** nearest);
}
