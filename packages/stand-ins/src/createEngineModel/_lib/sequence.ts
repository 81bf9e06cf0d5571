import type { EngineSubmission } from '@endivegate/contracts';

/** A prompt as submitted to the model: lengths in place of text. */
export type ModelSubmission = Omit<EngineSubmission, 'prompt' | 'model'> & {
  /** Tokens the model will generate; at most `maxOutputTokens`. */
  readonly outputTokens?: number;
};

/** A submission in the queue or in the batch, with its progress. */
export interface Sequence {
  readonly submission: ModelSubmission;
  readonly order: number;
  readonly deadlineAtMs: number;
  readonly wantedTokens: number;
  /** KV memory of its own; 0 when it runs in a reservation. */
  readonly kvTokens: number;
  /** Tokens still to be read in from an imported KV cache. */
  importedTokens: number;
  prefilledTokens: number;
  emittedTokens: number;
}

/**
 * Compares sequences by urgency: higher priority first, then by age.
 *
 * @param a - A sequence.
 * @param b - Another sequence.
 * @returns Negative when `a` goes first.
 */
export function compareUrgency(a: Sequence, b: Sequence): number {
  return b.submission.priority - a.submission.priority || a.order - b.order;
}

/**
 * Tells whether the whole prompt of a sequence is in the KV cache.
 *
 * @param sequence - A sequence in the batch.
 * @returns Whether it generates tokens from now on.
 */
export function isPrefilled(sequence: Sequence): boolean {
  return sequence.prefilledTokens >= sequence.submission.promptTokens;
}
