import type { EngineModelSettings } from './options.ts';
import { compareUrgency, isPrefilled, type Sequence } from './sequence.ts';

/** A batch step: one token for each decoding sequence, and the prefill chunks. */
export interface BatchStep {
  readonly endsAtMs: number;
  readonly decoding: readonly Sequence[];
  readonly chunks: readonly PrefillChunk[];
}

/** The part of a prompt that is prefilled in one step. */
interface PrefillChunk {
  readonly sequence: Sequence;
  readonly tokens: number;
}

/**
 * Plans the next step over the sequences of a batch.
 *
 * @param batch - Sequences in the batch.
 * @param startsAtMs - Time at which the step starts.
 * @param settings - Speeds of the engine.
 * @returns The step, or `undefined` for an empty batch.
 */
export function planStep(
  batch: readonly Sequence[],
  startsAtMs: number,
  settings: EngineModelSettings,
): BatchStep | undefined {
  if (batch.length === 0) return undefined;
  const decoding = batch.filter(isPrefilled);
  const chunks = planChunks(batch, settings.chunkTokens);
  const prefillMs = chunks.reduce(
    (sum, chunk) => sum + prefillTimeMs(chunk, settings),
    0,
  );
  const decodeMs =
    settings.decodeStepMs + decoding.length * settings.decodeStepPerSequenceMs;
  return { endsAtMs: startsAtMs + decodeMs + prefillMs, decoding, chunks };
}

function planChunks(
  batch: readonly Sequence[],
  chunkTokens: number,
): readonly PrefillChunk[] {
  let remainingTokens = chunkTokens;
  return batch
    .filter((sequence) => !isPrefilled(sequence))
    .sort(compareUrgency)
    .flatMap((sequence) => {
      const unprefilledTokens =
        sequence.submission.promptTokens - sequence.prefilledTokens;
      const tokens = Math.min(remainingTokens, unprefilledTokens);
      remainingTokens -= tokens;
      return tokens > 0 ? [{ sequence, tokens }] : [];
    });
}

function prefillTimeMs(
  { sequence, tokens }: PrefillChunk,
  settings: EngineModelSettings,
): number {
  const contextTokens = sequence.prefilledTokens + tokens / 2;
  const slowdown = 1 + contextTokens / settings.prefillDoublingTokens;
  const computeMs =
    ((tokens * 1_000) / settings.prefillTokensPerSecond) * slowdown;
  const importMs =
    (sequence.importedTokens * 1_000) / settings.kvImportTokensPerSecond;
  return computeMs + importMs;
}
